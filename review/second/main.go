// Command second runs one case of the second review. It starts the daemons of a small
// deployment as separate processes, with stand-ins for the store, the servers and the clients, and
// checks a rule from what these see. It exits with 1 if the rule was broken, with 0 if it held, and
// with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

// testCase is a case: it runs for some time, and returns whether the rule was broken.
type testCase struct {
	options fleetOptions
	run     func(f *fleet, trouble bool) (verdict, error)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// stopOnSignal ends all processes that the case started if the case is interrupted.
func stopOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		s := <-signals
		f.record.add("interrupted: %s", s)
		f.stop()
		f.record.close()
		os.Exit(exitNotRun)
	}()
}

func runCase(name, folder string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	record.add("case %s, trouble %t", name, trouble)
	f, err := newFleet(record, c.options)
	if err != nil {
		record.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	stopOnSignal(f)
	if err := f.start(); err != nil {
		record.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	began := time.Now()
	v, err := c.run(f, trouble)
	switch {
	case err != nil:
		record.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case v.broken:
		record.add("rule broken after %.1f s: %s", time.Since(began).Seconds(), v.reason)
		fmt.Println("broken:", v.reason)
		return exitBroken
	}
	record.add("rule held: %s", v.reason)
	fmt.Println("held:", v.reason)
	return exitHeld
}
