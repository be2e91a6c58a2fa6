package process

import (
	"context"
	"fmt"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// answered is one request of a load that ended.
type answered struct {
	ended time.Time
	wait  time.Duration // until the first byte
	err   error
}

// load keeps a number of requests outstanding until it is stopped.
type load struct {
	fleet   *fleet
	mu      sync.Mutex
	ended   []answered
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// callTime bounds one request of a load, including the entries it tries.
const callTime = 30 * time.Second

// startLoad starts workers, each of which is a caller with one request
// outstanding; next makes the requests.
func (f *fleet) startLoad(workers int, next func(worker, n int) call) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{fleet: f, cancel: cancel}
	for w := range workers {
		l.running.Go(func() {
			x := f.caller(w)
			for n := 0; ctx.Err() == nil; n++ {
				// The request outlives the load, so that none is cut by the test.
				limited, cancel := context.WithTimeout(context.Background(), callTime)
				r := x.do(limited, next(w, n))
				cancel()
				l.mu.Lock()
				l.ended = append(l.ended, answered{ended: time.Now(), wait: r.first, err: r.fault()})
				l.mu.Unlock()
			}
		})
	}
	f.c.Cleanup(cancel)
	return l
}

// stop waits for the requests in flight.
func (l *load) stop() {
	l.cancel()
	l.running.Wait()
}

// mixed alternates streamed completions, whole ones and stock lookups.
func mixed(worker, n int) call {
	prompt := fmt.Sprintf("worker %d request %d", worker, n)
	if n%3 == 2 {
		return lookup(fmt.Sprintf("item-%d", n))
	}
	return completion(prompt, 20, n%3 == 0)
}

// between returns the requests that ended in the interval.
func (l *load) between(from, to time.Time) []answered {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []answered
	for _, a := range l.ended {
		if a.ended.After(from) && !a.ended.After(to) {
			found = append(found, a)
		}
	}
	return found
}

func waits(ended []answered) []time.Duration {
	var d []time.Duration
	for _, a := range ended {
		d = append(d, a.wait)
	}
	return d
}

// rate returns the complete answers per second in the interval.
func (l *load) rate(from, to time.Time) float64 {
	complete := 0
	for _, a := range l.between(from, to) {
		if a.err == nil {
			complete++
		}
	}
	return float64(complete) / to.Sub(from).Seconds()
}

// assertUninterrupted checks that every request got its complete answer.
func (l *load) assertUninterrupted(c *qt.C) {
	c.Helper()
	l.stop()
	interrupted := 0
	for _, a := range l.ended {
		if a.err != nil {
			if interrupted++; interrupted <= 5 {
				c.Logf("interrupted at %s: %v", a.ended.Format("15:04:05.000"), a.err)
			}
		}
	}
	c.Logf("%d requests, %d interrupted", len(l.ended), interrupted)
	c.Check(interrupted, qt.Equals, 0)
	c.Check(len(l.ended) > 0, qt.IsTrue)
}

// series writes completions, faults and waits in steps.
func (l *load) series(c *qt.C, name string, from time.Time, step time.Duration) {
	rows := [][]string{{"second", "complete", "failed", "wait-p50-ms", "wait-p95-ms"}}
	for at := from; at.Before(time.Now()); at = at.Add(step) {
		ended, failed := l.between(at, at.Add(step)), 0
		for _, a := range ended {
			if a.err != nil {
				failed++
			}
		}
		w := waits(ended)
		rows = append(rows, []string{
			fmt.Sprintf("%.2f", at.Sub(from).Seconds()), fmt.Sprint(len(ended) - failed), fmt.Sprint(failed),
			ms(percentile(w, 0.5)), ms(percentile(w, 0.95)),
		})
	}
	writeCSV(c, name, rows)
}
