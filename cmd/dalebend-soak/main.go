// Command dalebend-soak: see internal/program, docs/SOAK.md and --help.
package main

import (
	"os"

	"github.com/dalebend/dalebend/internal/program"
)

func main() { os.Exit(program.Soak(os.Args[1:], os.Stdout, os.Stderr)) }
