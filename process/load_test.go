package process

import (
	"context"
	"fmt"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// result is the outcome of one request of a load.
type result struct {
	ended           time.Time
	timeToFirstByte time.Duration
	err             error
}

// load keeps a fixed number of requests outstanding until it is stopped.
type load struct {
	fleet   *fleet
	mu      sync.Mutex
	results []result
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// callTimeout is how long one request of a load may take, including attempts at
// several entries.
const callTimeout = 30 * time.Second

// startLoad starts the workers. Each is a caller that keeps one request
// outstanding and takes its nth request from next.
func (f *fleet) startLoad(workers int, next func(worker, n int) call) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{fleet: f, cancel: cancel}
	for w := range workers {
		l.running.Go(func() {
			x := f.caller(w)
			for n := 0; ctx.Err() == nil; n++ {
				// The context does not end with the load, so that the test cancels
				// no request in flight.
				limited, cancel := context.WithTimeout(context.Background(), callTimeout)
				r := x.sendUntilAccepted(limited, next(w, n))
				cancel()
				l.mu.Lock()
				l.results = append(l.results, result{ended: time.Now(), timeToFirstByte: r.timeToFirstByte, err: r.failure()})
				l.mu.Unlock()
			}
		})
	}
	f.c.Cleanup(cancel)
	return l
}

// stop starts no further requests and waits for those in flight.
func (l *load) stop() {
	l.cancel()
	l.running.Wait()
}

// mixedRequest returns in turn a streamed completion, a completion that is not
// streamed, and a stock lookup.
func mixedRequest(worker, n int) call {
	prompt := fmt.Sprintf("worker %d request %d", worker, n)
	if n%3 == 2 {
		return lookup(fmt.Sprintf("item-%d", n))
	}
	return completion(prompt, 20, n%3 == 0)
}

// endedBetween returns the results of requests that ended in the interval.
func (l *load) endedBetween(from, to time.Time) []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []result
	for _, a := range l.results {
		if a.ended.After(from) && !a.ended.After(to) {
			found = append(found, a)
		}
	}
	return found
}

// waitTimes returns the wait of each request, which is the time to the first byte of
// its last reply. It excludes earlier attempts that were refused, and is zero if the
// last attempt failed without a response.
func waitTimes(ended []result) []time.Duration {
	var d []time.Duration
	for _, a := range ended {
		d = append(d, a.timeToFirstByte)
	}
	return d
}

// completionRate returns the number of complete responses per second in the
// interval.
func (l *load) completionRate(from, to time.Time) float64 {
	complete := 0
	for _, a := range l.endedBetween(from, to) {
		if a.err == nil {
			complete++
		}
	}
	return float64(complete) / to.Sub(from).Seconds()
}

// assertUninterrupted stops the load and checks that every request received its
// complete response.
func (l *load) assertUninterrupted(c *qt.C) {
	c.Helper()
	l.stop()
	interrupted := 0
	for _, a := range l.results {
		if a.err != nil {
			if interrupted++; interrupted <= 5 {
				c.Logf("interrupted at %s: %v", a.ended.Format("15:04:05.000"), a.err)
			}
		}
	}
	c.Logf("%d requests, %d interrupted", len(l.results), interrupted)
	c.Check(interrupted, qt.Equals, 0)
	c.Check(len(l.results) > 0, qt.IsTrue)
}

// writeSeries writes a time series as CSV, with the complete and failed requests
// and the waits of each step.
func (l *load) writeSeries(c *qt.C, name string, from time.Time, step time.Duration) {
	rows := [][]string{{"second", "complete", "failed", "wait-p50-ms", "wait-p95-ms"}}
	for at := from; at.Before(time.Now()); at = at.Add(step) {
		ended, failed := l.endedBetween(at, at.Add(step)), 0
		for _, a := range ended {
			if a.err != nil {
				failed++
			}
		}
		w := waitTimes(ended)
		rows = append(rows, []string{
			fmt.Sprintf("%.2f", at.Sub(from).Seconds()), fmt.Sprint(len(ended) - failed), fmt.Sprint(failed),
			formatMilliseconds(percentile(w, 0.5)), formatMilliseconds(percentile(w, 0.95)),
		})
	}
	writeCSV(c, name, rows)
}
