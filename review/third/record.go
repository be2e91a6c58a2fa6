package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file at the end.
type record struct {
	started time.Time

	mu       sync.Mutex
	lines    []line
	runs     []run
	requests []sent
}

type line struct {
	at   time.Time
	text string
}

// sent is a request of a client, and its answer.
type sent struct {
	id, key, machine, path string
	at, end                time.Time
	status                 int
	bytes, events          int
	complete               bool
	err                    error
}

func newRecord() *record { return &record{started: time.Now()} }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := line{time.Now(), fmt.Sprintf(format, args...)}
	r.lines = append(r.lines, l)
	fmt.Printf("%7.3f %s\n", l.at.Sub(r.started).Seconds(), l.text)
}

func (r *record) began(x run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
	return len(r.runs) - 1
}

func (r *record) ended(index int, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[index].end, r.runs[index].complete = time.Now(), complete
}

func (r *record) answered(s sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, s)
}

// allRuns returns the runs so far, by the id of their request.
func (r *record) allRuns() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string][]run{}
	for _, x := range r.runs {
		runs[x.id] = append(runs[x.id], x)
	}
	return runs
}

func (r *record) allRequests() []sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]sent(nil), r.requests...)
}

// write writes the record. Times are seconds since its start.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	since := func(t time.Time) float64 {
		if t.IsZero() {
			return -1
		}
		return t.Sub(r.started).Seconds()
	}
	for _, l := range r.lines {
		fmt.Fprintf(w, "note %.4f %s\n", since(l.at), l.text)
	}
	for _, s := range r.requests {
		fmt.Fprintf(w, "request %s sent %.4f ended %.4f key %q machine %s path %s status %d events %d complete %t error %v\n",
			s.id, since(s.at), since(s.end), s.key, s.machine, s.path, s.status, s.events, s.complete, s.err)
	}
	for _, x := range r.runs {
		fmt.Fprintf(w, "run %s began %.4f ended %.4f server %s tenant %q path %s complete %t\n",
			x.id, since(x.at), since(x.end), x.server, x.tenant, x.path, x.complete)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
