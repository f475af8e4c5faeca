// Package settings declares every setting of every program, as a flag and an environment variable,
// and checks them at the start.
//
// docs/SETTINGS.md is generated from these declarations; a test keeps them in sync.
package settings

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/alexflint/go-arg"
)

// Version is printed by --version.
const Version = "dalebend 0.1.0"

// versioned is embedded in each program's settings.
type versioned struct{}

// Version is printed by --version.
func (versioned) Version() string { return Version }

// settings are the settings of one program.
type settings interface {
	// Check returns an error for the first invalid setting.
	Check() error
}

// Parse reads flags and environment variables into dest and checks them. It returns the exit code,
// and false if the program should exit.
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

// settingError returns an error that names an invalid setting.
func settingError(setting, format string, args ...any) error {
	return fmt.Errorf("--%s: %s", setting, fmt.Sprintf(format, args...))
}

// checkAddr checks HOST:PORT.
func checkAddr(setting, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return settingError(setting, "%q is not HOST:PORT", addr)
	}
	return nil
}

// checkAddrs checks several settings and skips empty ones.
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

// checkFile checks that a file is readable.
func checkFile(setting, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return settingError(setting, "%v", err)
	}
	return f.Close()
}
