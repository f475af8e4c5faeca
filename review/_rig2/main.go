// Command review-2 plays the cases of the second review: a small deployment of dalebend-box processes between stand-ins.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// mostTime bounds a case.
const mostTime = 100 * time.Second

// scenarios are the cases by name. Each reports whether the rule held.
var scenarios = map[string]func(rec *record, trouble bool) (held bool, err error){}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	// Nothing is left behind if a case hangs.
	time.AfterFunc(mostTime, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		closeCurrent()
		os.Exit(exitNotRun)
	})
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		closeCurrent()
		os.Exit(exitNotRun)
	}()
	held, err := scenarios[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case held:
		rec.add("the rule held")
		return exitHeld
	default:
		rec.add("the rule was broken")
		return exitBroken
	}
}
