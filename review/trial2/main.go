// Command trial2 runs one case of the second review: it starts edge nodes with the command of the deploy file, and
// stand-ins for the clients, the app servers and the discovery agent, and checks one rule. All addresses are
// loopback addresses. It writes what happened to record.txt in the folder of the case.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRun is the longest time that a case may take.
const maxRun = 115 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trialCase is one case. It returns the breaks of the rule that it saw.
type trialCase func(t *trial) (breaks []string, err error)

// cases holds the cases by the name of their folder.
var cases = map[string]trialCase{}

// trial is one run of a case.
type trial struct {
	ctx     context.Context
	trouble bool   // play the disruption
	run     string // command of the deploy file that starts a node
	dir     string // temporary folder
	record  *record
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: trial2 FOLDER RUN-COMMAND")
		os.Exit(exitNotRun)
	}
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // a closed output must not end a run before its processes
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs the case of a folder and returns the exit code.
func runCase(folder, command string) int {
	play := cases[filepath.Base(folder)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "trial2: no case for the folder %q\n", folder)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial2:", err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "trial2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial2:", err)
		return exitNotRun
	}
	t := &trial{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", run: command, dir: dir, record: rec}
	rec.linef("trouble: %v", t.trouble)
	breaks, err := play(t)
	_ = os.RemoveAll(dir) // a temporary folder
	if err == nil {
		err = ctx.Err() // a run that was ended early shows nothing
	}
	switch {
	case err != nil:
		rec.linef("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "trial2: could not run:", err)
		return exitNotRun
	case len(breaks) == 0:
		rec.linef("held")
		fmt.Println("held")
		return exitHeld
	}
	for i, text := range breaks {
		rec.linef("BROKEN: %s", text)
		if i < 5 {
			fmt.Println("BROKEN:", text)
		}
	}
	fmt.Printf("%d breaks\n", len(breaks))
	return exitBroken
}

// sleep waits, and returns false if the trial ended first.
func (t *trial) sleep(d time.Duration) bool {
	select {
	case <-t.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
