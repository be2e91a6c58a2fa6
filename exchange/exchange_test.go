package exchange

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
)

// network connects exchanges by their link addresses.
type network struct {
	mu        sync.Mutex
	receivers map[string]*Receiver
	cut       map[string]bool
	calls     int
}

// Call implements port.Link.
func (n *network) Call(_ context.Context, address, _ string, args, reply any) error {
	n.mu.Lock()
	r := n.receivers[address]
	n.calls++
	cut := n.cut[address] || n.cut[args.(Message).Link]
	n.mu.Unlock()
	if r == nil || cut {
		return errors.New("no way to " + address)
	}
	return r.Swap(args.(Message), reply.(*Message))
}

// start adds daemons of two failure domains that know each other by one seed.
func start(n *network, count int) []*Exchange {
	var all []*Exchange
	for i := range count {
		x := &Exchange{
			Self:   mirror.Member{Name: fmt.Sprint("d", i), Link: fmt.Sprint("link-", i), Domain: fmt.Sprint("z", i%2)},
			Link:   n,
			Mirror: &mirror.Mirror{Decode: func(port.Entry) (mirror.Fact, error) { return nil, nil }, Gone: func(string) mirror.Fact { return nil }},
			Marks:  &quarantine.Registry{}, Seeds: []string{"link-0"},
			Status:  func() (bool, bool) { return true, false },
			Report:  func() Report { return Report{Targets: map[string]Work{"t": {Requests: 1, Prompt: 10}}} },
			Reading: func() bool { return true },
		}
		n.receivers[x.Self.Link] = x.Receiver()
		all = append(all, x)
	}
	return all
}

// round lets each daemon call its peers once, and waits for the calls.
func round(all []*Exchange) {
	var done sync.WaitGroup
	for _, x := range all {
		for _, address := range x.addresses() {
			done.Go(func() { x.call(context.Background(), address) })
		}
	}
	done.Wait()
}

// Guards against peers that are never found, and against load of others that is
// not counted.
func TestPeersAreFound(t *testing.T) {
	n := &network{receivers: map[string]*Receiver{}, cut: map[string]bool{}}
	all := start(n, 4)
	for range 3 {
		round(all)
	}
	// Those that know only the seed are found by it calling back.
	qt.Assert(t, all[0].Peers(), qt.HasLen, 3)
	qt.Assert(t, all[0].Totals().Targets["t"], qt.Equals, Work{Requests: 3, Prompt: 30})
	at := clock.Now()
	for _, p := range all[0].Peers() {
		qt.Assert(t, p.Live(at), qt.IsTrue)
		qt.Assert(t, p.Live(at.Add(LiveTime+time.Second)), qt.IsFalse)
	}
}

// Guards against marks of crashes that stay at one daemon.
func TestMarksSpread(t *testing.T) {
	n := &network{receivers: map[string]*Receiver{}, cut: map[string]bool{}}
	all := start(n, 2)
	for _, crash := range []string{"t1@1", "t2@2"} {
		all[1].Marks.Crash(time.Now(), crash, []uint64{7})
	}
	round(all)
	qt.Assert(t, all[0].Marks.Quarantined(time.Now(), 7), qt.IsTrue)
}

// Guards against large fleets in which all daemons, or none of a failure domain,
// poll the key-value service, and against rounds that call everybody.
func TestReaders(t *testing.T) {
	n := &network{receivers: map[string]*Receiver{}, cut: map[string]bool{}}
	all := start(n, 40)
	for _, x := range all {
		for _, o := range all {
			if o != x {
				x.take(o.message(false), 0, false)
			}
		}
	}
	readers := map[string]int{}
	for _, x := range all {
		if x.Reader() {
			readers[x.Self.Domain]++
		}
		list := x.addresses()
		qt.Assert(t, len(list), qt.Equals, fanOut)
	}
	qt.Assert(t, readers, qt.DeepEquals, map[string]int{"z0": readersPerDomain, "z1": readersPerDomain})
	small := start(&network{receivers: map[string]*Receiver{}, cut: map[string]bool{}}, 3)
	for _, x := range small {
		qt.Assert(t, x.Reader(), qt.IsTrue)
	}
}
