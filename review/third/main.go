// Command review-third runs the cases of the third review that are scripts. It exits with 1 if the
// rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// command runs a daemon, as in the deploy file.
const command = "target/rattanlined machine --metrics-port 9464"

// verdict is how a case ended.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	notRun verdict = 2
)

var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"revoke-after-copy": revokeAfterCopy,
	"many-parts":        manyParts,
}

// longest is how long a case may run.
const longest = 112 * time.Second

// runCase runs the case until it ends, takes too long or is interrupted.
func runCase(f *fleet, c func(f *fleet, trouble bool) (verdict, error)) (verdict, error) {
	type result struct {
		v   verdict
		err error
	}
	ended := make(chan result, 1)
	go func() {
		v, err := c(f, os.Getenv("TROUBLE") != "0")
		ended <- result{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-ended:
		return r.v, r.err
	case s := <-interrupted:
		return notRun, fmt.Errorf("%s", s)
	case <-time.After(longest):
		return notRun, fmt.Errorf("it takes longer than %s", longest)
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-third CASE RECORD")
		os.Exit(int(notRun))
	}
	f, err := newFleet(command)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	v, err := runCase(f, cases[os.Args[1]])
	f.close()
	if err != nil {
		f.record.note("the case could not run: %v", err)
		v = notRun
	}
	f.record.note("verdict: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", notRun: "not run"}[v])
	if err := f.record.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		v = notRun
	}
	os.Exit(int(v))
}
