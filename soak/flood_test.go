package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// floodCores is the processor time of a daemon under a flood, in cores. With much
	// less, the daemon spends most of it on waking up; with more, the callers and targets
	// in the process of the test don't keep up.
	floodCores = 0.4
	// floodFactor is the rate of a flood as a multiple of what a daemon can serve.
	floodFactor = 3
	// floodTime is the time within which an account must get its share.
	floodTime = 6 * time.Second
	// lightRate is a rate of requests per second that a daemon serves easily.
	lightRate = 150
)

// flood sends requests of one account to one daemon at a constant rate, each on a new
// connection. A refused request is sent once more, as callers do.
type flood struct {
	process       *process
	account       string
	rate          float64
	asked, served atomic.Int64
}

// run sends requests for the duration and waits until they have ended.
func (f *flood) run(d time.Duration) {
	var sent sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < d; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / f.rate * float64(time.Second)))))
		f.asked.Add(1)
		sent.Go(func() {
			retryAfter := f.send(n, 0)
			if retryAfter > 0 {
				time.Sleep(retryAfter)
				f.send(n, 1)
			}
		})
	}
	sent.Wait()
}

// send sends one attempt. It returns after which time a refused one is to be sent again.
func (f *flood) send(n, attempt int) time.Duration {
	cl := &caller{cluster: f.process.cluster, random: rand.New(rand.NewPCG(uint64(n), uint64(attempt))), account: f.account}
	key, _ := cl.cluster.currentKey(f.account)
	s := &sentRequest{kind: kinds[2], id: digest(f.account, n, attempt, f.rate), at: time.Now(), key: key, account: f.account, frontend: f.process.frontend()}
	s.path, s.body = s.kind.prefix+s.id, strings.Repeat("x", 3000)
	cl.cluster.checker.requestSent(s)
	conn, err := net.DialTimeout("tcp", s.frontend, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTime))
	cl.conn, cl.reader = conn, bufio.NewReader(conn)
	response, err := cl.exchange(s, key)
	if err != nil {
		return 0
	}
	served, _ := cl.check(s, response)
	if served {
		f.served.Add(1)
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return wait
}

// serveCost returns the processor time that the daemon takes per request, according to
// its log.
func serveCost(t *testing.T, p *process) time.Duration {
	t.Helper()
	log, err := os.ReadFile(p.log.Name())
	qt.Assert(t, err, qt.IsNil)
	var requests int
	var milliseconds float64
	for _, raw := range bytes.Split(log, []byte("\n")) {
		var line struct {
			Message       string
			Requests      int
			ProcessorTime float64 `json:"processor-time"`
		}
		if json.Unmarshal(raw, &line) == nil && line.Message == "load" {
			requests += line.Requests
			milliseconds += line.ProcessorTime
		}
	}
	qt.Assert(t, requests > 2*lightRate, qt.IsTrue, qt.Commentf("%d requests in the log", requests))
	return time.Duration(milliseconds / float64(requests) * float64(time.Millisecond))
}

// runFlood starts daemons, lets the account "large" flood one of them, and "small" send
// to the same one. It returns both, and how many requests the daemon could have served
// in the time of the flood.
func runFlood(t *testing.T) (large, small *flood, capacity int64) {
	t.Helper()
	c, err := startCluster(Options{
		Seed: *seed, Daemons: 3, Cores: floodCores, Program: []string{os.Args[0], "machine"}, Environment: []string{asDaemon + "=1"},
		Directory: logDirectory(t),
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.close)
	p := c.processes[0]
	(&flood{process: p, account: "middle", rate: lightRate}).run(4 * time.Second)
	rate := floodCores / serveCost(t, p).Seconds()
	large = &flood{process: p, account: "large", rate: floodFactor * rate}
	small = &flood{process: p, account: "small", rate: 5}
	var both sync.WaitGroup
	both.Go(func() { large.run(floodTime) })
	both.Go(func() { small.run(floodTime) })
	both.Wait()
	t.Logf("served %d of %d and %d of %d, could serve %.1f/s", large.served.Load(), large.asked.Load(), small.served.Load(), small.asked.Load(), rate)
	qt.Assert(t, c.checker.violations, qt.HasLen, 0)
	return large, small, int64(rate * floodTime.Seconds())
}

// Guards against an overloaded daemon that spends its processor time on refusals, so that
// an account whose callers all send to it gets less than half of what it could serve.
func TestOverloadedDaemonServes(t *testing.T) {
	large, _, capacity := runFlood(t)
	qt.Assert(t, large.served.Load()*2 >= capacity, qt.IsTrue)
}

// Guards against an account that gets less than half of what it asks for, because
// another one floods the daemon that both send to.
func TestFloodedDaemonServesOthers(t *testing.T) {
	_, small, _ := runFlood(t)
	qt.Assert(t, small.served.Load()*2 >= small.asked.Load(), qt.IsTrue)
}
