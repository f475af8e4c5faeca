// Command rig runs the cases of the review: the project's box as processes between stand-ins, on loopback
// addresses and the real clock.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption. The processes that it starts end
// with it.
//
// The folder's name begins with an underscore, so that ./... does not take it in.
package main

import (
	"flag"
	"fmt"
	"os"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(r *Record, trouble bool) (int, error){
	"switch": runSwitch,
	"cut":    runCut,
	"era":    runEra,
	"garble": runGarble,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	body, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return failed
	}
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	record.Add("case %s, with its disruption: %t", name, trouble)
	code, err := body(record, trouble)
	if err != nil {
		record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = failed
	}
	record.Add("exit %d", code)
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return code
}
