// Package settings declares every setting of every program, as flag and as
// environment variable, and checks them at the start.
//
// docs/SETTINGS.md is written from these declarations; a test holds them together.
package settings

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/alexflint/go-arg"
)

// Version is told by --version.
const Version = "dalebend 0.1.0"

// versioned is embedded by each program's settings.
type versioned struct{}

// Version is told by --version.
func (versioned) Version() string { return Version }

// settings is one program's settings.
type settings interface {
	// Check names the first setting that cannot be used.
	Check() error
}

// Parse reads flags and environment variables into dest and checks them. It
// returns the exit code and false when the program should stop.
func Parse(dest settings, program string, args []string, out, errOut io.Writer) (code int, ok bool) {
	p, err := arg.NewParser(arg.Config{Program: program}, dest)
	if err != nil {
		fmt.Fprintf(errOut, "%s: settings are declared wrongly: %v\n", program, err)
		return 2, false
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return 0, false
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, Version)
		return 0, false
	case err == nil:
		err = dest.Check()
	}
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v; see --help\n", program, err)
		return 2, false
	}
	return 0, true
}

// fault names a setting that cannot be used.
func fault(setting, format string, args ...any) error {
	return fmt.Errorf("--%s: %s", setting, fmt.Sprintf(format, args...))
}

// checkAddr checks HOST:PORT.
func checkAddr(setting, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fault(setting, "%q is not HOST:PORT", addr)
	}
	return nil
}

// checkAddrs checks several settings, empty ones left out.
func checkAddrs(bySetting ...[2]string) error {
	for _, pair := range bySetting {
		if pair[1] == "" {
			continue
		}
		if err := checkAddr(pair[0], pair[1]); err != nil {
			return err
		}
	}
	return nil
}

// checkFile checks that a file can be read.
func checkFile(setting, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fault(setting, "%v", err)
	}
	return f.Close()
}
