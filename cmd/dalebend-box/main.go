// Command dalebend-box: see internal/program and --help.
package main

import (
	"os"

	"github.com/dalebend/dalebend/internal/program"
)

func main() { os.Exit(program.Box(os.Args[1:], os.Stdout, os.Stderr)) }
