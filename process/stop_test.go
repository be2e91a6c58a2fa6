package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/frontend"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/standin"
)

func milliseconds(n int) config.Duration { return config.Duration(time.Duration(n) * time.Millisecond) }

// smallEngine returns options of an engine that, once warm, completes 20 tokens in
// about 126 ms. The time to the first token is 50 ms, so that scheduling delays on
// a busy host do not look like a saturated engine.
func smallEngine(capacity int) standin.EngineOptions {
	return standin.EngineOptions{
		TargetOptions: standin.TargetOptions{Capacity: capacity, ColdLimit: 2, WarmUp: milliseconds(500)},
		PromptTime:    milliseconds(50), TokenTime: milliseconds(4),
	}
}

func smallService(capacity, work int) standin.ServiceOptions {
	return standin.ServiceOptions{
		TargetOptions:  standin.TargetOptions{Capacity: capacity, ColdLimit: 2, WarmUp: milliseconds(500)},
		ProcessingTime: milliseconds(work),
	}
}

const (
	stopTimeout  = 30 * time.Second
	readyTimeout = 25 * time.Second
)

// TestRollingStop guards against requests that are interrupted when daemons are
// stopped gracefully and restarted one after another under load.
func TestRollingStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{
		domains: 3, daemons: 2, engines: 1, services: 1, engine: smallEngine(8), service: smallService(8, 10),
	})
	began := time.Now()
	l := f.startLoad(18, mixedRequest)
	rows := [][]string{{"daemon", "stop-ms"}}
	for _, d := range f.daemons[:orShort(len(f.daemons), 2)] {
		time.Sleep(500 * time.Millisecond)
		took := d.stop(stopTimeout)
		t.Logf("%s stopped after %s", d.name, took.Round(time.Millisecond))
		rows = append(rows, []string{d.name, formatMilliseconds(took)})
		d.start()
		d.awaitReady(readyTimeout)
	}
	time.Sleep(500 * time.Millisecond)
	l.assertUninterrupted(f.c)
	w := waitTimes(l.endedBetween(began, time.Now()))
	t.Logf("wait p50 %s, p95 %s, longest %s", percentile(w, 0.5), percentile(w, 0.95), percentile(w, 1))
	l.writeSeries(f.c, "rolling-stop-series", began, 250*time.Millisecond)
	writeCSV(f.c, "rolling-stop", rows)
}

// sendOn sends a stock lookup on the connection and returns the response.
func sendOn(f *fleet, conn net.Conn) (*http.Response, error) {
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return nil, err
	}
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n\r\n", lookup("item").path, accountKey(f.options.accounts[0]))
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// TestStopWithOpenConnections guards against a daemon that closes a caller's open
// connection while a request is on its way, and against responses after which the
// caller would use a connection of a stopping daemon again.
func TestStopWithOpenConnections(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{
		domains: 1, daemons: 1, engines: 1, services: 1, engine: smallEngine(8), service: smallService(8, 600),
	})
	d := f.daemons[0]
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", d.entry)
		f.c.Assert(err, qt.IsNil)
		f.c.Cleanup(func() { _ = conn.Close() })
		response, err := sendOn(f, conn)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		conns = append(conns, conn)
	}
	running := make(chan *http.Response, 1)
	go func() {
		response, err := sendOn(f, conns[0])
		f.c.Check(err, qt.IsNil)
		running <- response
	}()
	time.Sleep(200 * time.Millisecond) // until the request runs
	d.signal(syscall.SIGTERM)
	response := <-running
	f.c.Assert(response, qt.Not(qt.IsNil))
	f.c.Check(response.StatusCode, qt.Equals, http.StatusOK)
	f.c.Check(response.Close, qt.IsTrue)

	response, err := sendOn(f, conns[1]) // idle until now
	f.c.Assert(err, qt.IsNil)
	f.c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(response.Header.Get(frontend.OutcomeHeader), qt.Equals, string(request.OutcomeNotRun))
	f.c.Check(response.Close, qt.IsTrue)
	d.stop(stopTimeout)
}
