// Command dalebend-standin: see internal/program and --help.
package main

import (
	"os"

	"github.com/dalebend/dalebend/internal/program"
)

func main() { os.Exit(program.Standin(os.Args[1:], os.Stdout, os.Stderr)) }
