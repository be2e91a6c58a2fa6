package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// sharedTokens is the shared part of the prompt of a catalogue-draft, and partTokens the size of
	// the parts in which the clients list it.
	sharedTokens, partTokens = 6300, 16
	// documents is the number of prompts that requests share.
	documents = 113
)

// promptHeader returns the headers of a request about a document. A part's id stands for the part
// and all parts before it, so that documents share none.
func promptHeader(document, own int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Model: m\r\nToken-Usage: %d,52\r\nPrefix-Hash: ", sharedTokens+2890)
	for part := range int64(sharedTokens / partTokens) {
		fmt.Fprintf(&b, "%08x:%d,", uint32((document*100003+part*7+1)*2654435761), partTokens)
	}
	fmt.Fprintf(&b, "%08x:2890\r\n", uint32(own*2246822519+3))
	return b.String()
}

// manyParts lets one tenant send many times its usual. Its prompts are listed in parts of 16 tokens.
// It checks that the daemons answer what is still unanswered at the route's timeout.
func manyParts(f *fleet, trouble bool) (verdict, error) {
	const (
		timeout    = 4 * time.Second
		usual      = 157 * time.Millisecond // between the tenant's requests at one daemon
		times      = 7.5                    // what a hot tenant sends, as a multiple of its usual
		together   = 3                      // clients that come at once
		hotTime    = 6500 * time.Millisecond
		calmTime   = 3 * time.Second
		hotPeriods = 8
	)
	t := tenant{"hule930", []string{"keptkey0001"}}
	c := newConfiguration(3, t)
	c.Routes[2].TimeoutMS, c.Routes[2].TargetMS = int(timeout.Milliseconds()), 800
	f.write(c)
	if err := f.addServers(12, kind{service: assistService, slots: 64, events: 13, gap: 20 * time.Millisecond}); err != nil {
		return notRun, err
	}
	if err := f.addServers(3, kind{service: deskService, slots: 6, work: 15 * time.Millisecond}); err != nil {
		return notRun, err
	}
	if err := f.startMachines(3); err != nil {
		return notRun, err
	}
	f.record.note("all daemons are ready")
	time.Sleep(2 * time.Second)
	var hot atomic.Bool
	var own atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range f.machines {
		idle := make(chan *client, 4096) // clients with a kept connection
		send := func() {
			clients.Go(func() {
				var cl *client
				select {
				case cl = <-idle:
				default:
					cl = &client{record: f.record, address: m.at(frontendPort)}
				}
				n := own.Add(1)
				cl.send(message{
					method: "POST", path: notesPath + "2f", key: t.APIKeys[0], deadline: 6 * time.Second,
					header: promptHeader(n%documents, n), body: []byte(strings.Repeat("x", 1000)),
				})
				idle <- cl
			})
		}
		clients.Go(func() {
			for {
				count, pause := 1, usual
				if hot.Load() {
					count, pause = together, time.Duration(together*float64(usual)/times)
				}
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				for range count {
					send()
				}
			}
		})
	}
	for range hotPeriods {
		time.Sleep(calmTime)
		if trouble {
			f.record.note("the tenant sends %.1f times its usual", times)
			hot.Store(true)
		}
		time.Sleep(hotTime)
		hot.Store(false)
	}
	time.Sleep(calmTime)
	close(stop)
	clients.Wait()
	for _, m := range f.machines {
		before, at := m.processorTime(), time.Now()
		time.Sleep(time.Second)
		f.record.note("%s without requests: ready %t, %.2f cores", m.name, m.ready(), (m.processorTime()-before)/time.Since(at).Seconds())
	}
	for _, m := range f.machines {
		m.signal(syscall.SIGTERM)
	}
	f.record.note("SIGTERM of all daemons")
	signalled := time.Now()
	for _, m := range f.machines {
		select {
		case <-m.done:
		case <-time.After(time.Until(signalled.Add(8 * time.Second))):
			f.record.note("%s still runs 8 s after SIGTERM", m.name)
		}
	}
	unanswered, half := 0, 0 // of all machines
	for _, m := range f.machines {
		late, later, unfinished, answered := 0, 0, 0, 0
		for _, s := range f.record.allRequests() {
			took := s.end.Sub(s.at)
			switch {
			case s.machine != m.at(frontendPort):
			case s.status != 0 && took < timeout:
				answered++
			case s.status != 0:
				unfinished++ // it has an answer, though not its end
			case took >= timeout+500*time.Millisecond:
				late, later = late+1, later+1
			case took >= timeout:
				late++
			}
		}
		unanswered, half = unanswered+late, half+later
		f.record.note("%s: %d answered, %d answered without an end, %d unanswered after %s, of these %d half a second later", m.name, answered, unfinished, late, timeout, later)
	}
	f.record.note("all: %d unanswered after %s, of these %d half a second later", unanswered, timeout, half)
	if unanswered > 0 && 2*half > unanswered {
		return broken, nil
	}
	return held, nil
}
