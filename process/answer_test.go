package process

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/standin"
)

// TestResponseIntegrity guards against responses that look complete to the caller but are
// truncated or belong to another request. Targets attach responses to the wrong
// request and end streams early, and some callers disconnect before the end.
func TestResponseIntegrity(t *testing.T) {
	t.Parallel()
	count := orShort(4000, 1000)
	if *answers > 0 {
		count = *answers
	}
	engine := smallEngine(32)
	engine.ColdLimit, engine.PromptTime, engine.TokenTime = 16, milliseconds(5), milliseconds(1)
	f := startFleet(t, options{
		domains: 3, daemons: 1, engines: 2, engine: engine, document: func(d config.Document) config.Document {
			s, _ := d.Service(assistant)
			s.Resume = true
			return d.WithService(s)
		},
	})
	f.testAnswers("streamed", count/2, true, standin.EngineFault{
		Mislabel: 0.02, Truncate: 0.02, CutStreams: count / 100, CutStreamAfter: 3,
	})
	// A completion that the target shortens before sending it in one piece can't
	// be distinguished from a complete one, so that mislabelling is the only fault
	// here.
	f.testAnswers("whole", count-count/2, false, standin.EngineFault{Mislabel: 0.02})
}

// testAnswers injects the fault into all engines, sends completions to the entries
// and checks the content of every response that looks complete.
func (f *fleet) testAnswers(name string, count int, stream bool, fault standin.EngineFault) {
	c := f.c
	fault.Jitter = config.Duration(20 * time.Millisecond) // reorders responses
	for _, e := range f.engines {
		fault.Seed++
		c.Assert(e.SetFault(fault), qt.IsNil)
	}
	var complete, refused, detected, abandoned, wrong atomic.Int64
	var callers sync.WaitGroup
	numbers := make(chan int)
	began := time.Now()
	for w := range 64 {
		x := f.caller(w)
		callers.Go(func() {
			for n := range numbers {
				limit := callTimeout
				if n%20 == 0 { // disconnects before the response is complete
					limit = time.Duration(5+n%15) * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				r := x.send(ctx, x.entry(ctx), completion(fmt.Sprintf("%s question %d", name, n), 8, stream))
				switch err := r.failure(); {
				case err == nil:
					complete.Add(1)
				case errors.Is(err, errWrongContent):
					if wrong.Add(1) <= 5 {
						c.Logf("%v", err)
					}
				case ctx.Err() != nil:
					abandoned.Add(1)
				case r.notRun():
					refused.Add(1)
				default:
					detected.Add(1)
				}
				cancel()
			}
		})
	}
	for n := range count {
		numbers <- n
	}
	close(numbers)
	callers.Wait()
	row := []string{name}
	for _, n := range []*atomic.Int64{&complete, &detected, &refused, &abandoned, &wrong} {
		row = append(row, fmt.Sprint(n.Load()))
	}
	header := []string{"kind", "complete", "shown as faulty", "refused", "left by the caller", "wrong undetected"}
	c.Logf("%d answers in %s: %v %v", count, time.Since(began).Round(time.Millisecond), header, row)
	c.Check(wrong.Load(), qt.Equals, int64(0))
	c.Check(complete.Load() > int64(count)*8/10, qt.IsTrue)
	writeCSV(c, "answers-"+name, [][]string{header, row})
}
