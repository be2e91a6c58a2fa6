package operator_test

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/timeline"
)

// slowLink answers calls to the address "silent" after an hour and all others
// after 100 ms.
type slowLink struct {
	port.Link
	active, maxActive atomic.Int32 // concurrent calls: now, and at most
}

func (l *slowLink) Call(ctx context.Context, address, method string, args, reply any) error {
	l.maxActive.Store(max(l.maxActive.Load(), l.active.Add(1)))
	defer l.active.Add(-1)
	wait := 100 * time.Millisecond
	if address == "silent" {
		wait = time.Hour
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return ctx.Err()
	}
	switch r := reply.(type) {
	case *operator.StatusReply:
		r.Version = 5
	case *operator.EventsReply:
		r.Events = []timeline.Event{{Daemon: address, Time: time.Now().Round(0)}}
	}
	return nil
}

func newView(members, silent int) member.View {
	v := member.View{}
	t := member.Table{Domain: "east"}
	for i := range members {
		name := fmt.Sprintf("d%03d", i)
		t = t.With(member.Member{Name: name, Host: "h-" + name, Domain: "east", LinkAddress: name, State: member.Live})
	}
	v.Self = t.Members[0]
	t = t.With(member.Member{Name: "d000", Host: "h", Domain: "east", LinkAddress: "unused", State: member.Live})
	for i := range silent {
		t = t.With(member.Member{Name: fmt.Sprintf("gone%d", i), Domain: "east", LinkAddress: "silent", State: member.Silent})
	}
	return v.WithTable(t)
}

// Guards against a collection in which one silent daemon delays or hides the
// others, and against hundreds of concurrent calls.
func TestCollector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &slowLink{}
		local := &operator.Peer{
			Report:         func() operator.StatusReply { return operator.StatusReply{Version: 9} },
			RecordedEvents: func(timeline.Filter) []timeline.Event { return nil },
		}
		collector := &operator.Collector{Link: l, View: func() member.View { return newView(100, 1) }, Local: local}
		start := time.Now()
		status := collector.Status(context.Background())
		c.Assert(status, qt.HasLen, 101)
		c.Assert(time.Since(start) <= 2*time.Second, qt.IsTrue)
		c.Assert(l.maxActive.Load(), qt.Equals, int32(16))
		for i, h := range status {
			switch {
			case i == 0:
				c.Assert(h.Version, qt.Equals, uint64(9))
			case h.Daemon == "gone0":
				c.Assert(h.Error, qt.Equals, context.DeadlineExceeded.Error())
				c.Assert(h.MemberState, qt.Equals, "silent")
			default:
				c.Assert(h.Version, qt.Equals, uint64(5))
				c.Assert(h.Error, qt.Equals, "")
			}
		}
		events := collector.Events(context.Background(), timeline.Filter{})
		c.Assert(events, qt.HasLen, 100)
		c.Assert(events[99].Kind, qt.Equals, operator.EventsUnavailable)
		c.Assert(collector.Events(context.Background(), timeline.Filter{Host: "h-d042"}), qt.HasLen, 1)
	})
}

// Guards against a collection with many silent daemons that ends only after the
// operator's client has timed out.
func TestManySilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		collector := &operator.Collector{Link: &slowLink{}, View: func() member.View { return newView(100, 400) }}
		start := time.Now()
		s := operator.Summarize(collector.Status(context.Background()))
		c.Assert(time.Since(start) <= 21*time.Second, qt.IsTrue)
		c.Assert(s.Hosts, qt.HasLen, 500)
		c.Assert(s.Silent, qt.Equals, 400)
	})
}

// Guards against a collection that exhausts the memory of a daemon because its
// number of events is not limited.
func TestEventLimit(t *testing.T) {
	c := qt.New(t)
	b := &timeline.Buffer{Daemon: "d000", Size: 200_000}
	for range b.Size {
		b.Record(timeline.Event{Kind: "k"})
	}
	collector := &operator.Collector{View: func() member.View { return newView(1, 0) }, Local: &operator.Peer{RecordedEvents: b.Events}}
	events := collector.Events(context.Background(), timeline.Filter{})
	c.Assert(events, qt.HasLen, 100_001)
	c.Assert(events[0].Kind, qt.Equals, operator.EventsTruncated)
	c.Assert(events[100_000].Sequence, qt.Equals, uint64(200_000))
}

// Guards against methods that net/rpc can't call and messages that gob can't encode.
func TestPeerOverRPC(t *testing.T) {
	c := qt.New(t)
	b := &timeline.Buffer{Daemon: "d1"}
	b.Record(timeline.Event{Request: "r"})
	peer := &operator.Peer{
		Report:         func() operator.StatusReply { return operator.StatusReply{Version: 3, State: "running"} },
		RecordedEvents: b.Events,
	}
	server := rpc.NewServer()
	c.Assert(server.RegisterName(operator.PeerName, peer), qt.IsNil)
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	client := rpc.NewClient(clientConn)
	defer client.Close()
	var status operator.StatusReply
	c.Assert(client.Call("Peer.Status", operator.StatusArgs{From: "d2"}, &status), qt.IsNil)
	c.Assert(status, qt.Equals, peer.Report())
	var events operator.EventsReply
	c.Assert(client.Call("Peer.Events", operator.EventsArgs{Filter: timeline.Filter{Request: "r"}}, &events), qt.IsNil)
	c.Assert(events.Events, qt.DeepEquals, b.Events(timeline.Filter{}))
}
