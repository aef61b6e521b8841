// Command standin plays the cases of the review. It starts the edge nodes of a small deployment as processes of their
// own, takes the places of clients, app servers and discovery, and exits with 1 if a rule was broken, with 0 if it
// held, and with 2 if the case could not run.
//
//	standin CASE RECORD
//
// TROUBLE=0 in the environment leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun is the time after which a case is given up.
const longestRun = 110 * time.Second

// cases contains the cases by their numbers.
var cases = map[string]func(*deployment, bool) (broken int, err error){
	"1": unfinishedHeads,
	"2": hiddenRequests,
	"3": slowLongRequests,
}

func main() {
	runtime.LockOSThread() // the nodes are killed when the thread ends that has started them
	os.Exit(run(os.Args))
}

// run plays one case and returns the exit code.
func run(arguments []string) int {
	if len(arguments) != 3 || cases[arguments[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	log, err := newRecord(arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d := &deployment{log: log}
	watchdog := time.AfterFunc(longestRun, func() {
		log.say("given up after %v", longestRun)
		d.stop()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	log.say("case %s, with the disruption: %v", arguments[1], trouble)
	broken, err := cases[arguments[1]](d, trouble)
	if err == nil {
		err = d.check()
	}
	switch {
	case err != nil:
		log.say("could not run: %v", err)
		return exitNotRun
	case broken > 0:
		log.say("the rule was broken %d times", broken)
		return exitBroken
	}
	log.say("the rule held")
	return exitHeld
}
