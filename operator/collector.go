package operator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/timeline"
)

// Limits of one collection: a silent daemon must not delay the others, and the
// asking daemon must not open hundreds of calls at once. In a large fleet with
// many silent daemons the whole collection ends before the operator's client
// gives up, and tells what it has.
const (
	askTimeout     = time.Second
	askParallel    = 16
	collectTimeout = 20 * time.Second
)

// maxEvents bounds the events of one collection to about 20 MB, because daemons
// have 256 MB. Each daemon may send an equal part.
const maxEvents = 100_000

// The kinds of events that the collector adds.
const (
	EventsUnavailable = "events-unavailable" // the daemon's events could not be read
	EventsTruncated   = "events-truncated"   // older events of the daemon are left out
)

// Collector asks all daemons for status and events.
type Collector struct {
	Link port.Link
	View func() member.View
	// Local answers for this daemon itself, without a call over the link.
	Local *Peer
}

// Status returns the status of every member, ordered by failure domain and name.
func (c *Collector) Status(ctx context.Context) []HostStatus {
	view := c.View()
	args := StatusArgs{From: view.Self.Name}
	answers := ask(ctx, c, members(view), "Status", args, (*Peer).Status)
	status := make([]HostStatus, 0, len(answers))
	for _, a := range answers {
		h := HostStatus{
			Daemon:        a.from.Name,
			Host:          a.from.Host,
			FailureDomain: a.from.Domain,
			Address:       a.from.LinkAddress,
			MemberState:   string(a.from.State),
			StatusReply:   a.reply,
		}
		if a.err != nil {
			h.Error = a.err.Error()
		}
		status = append(status, h)
	}
	return status
}

// Events returns the events of every member in one order. An event of the kind
// NoAnswer or Truncated tells what is missing of a member.
func (c *Collector) Events(ctx context.Context, f timeline.Filter) []timeline.Event {
	asked := members(c.View())
	if f.Host != "" {
		asked = slices.DeleteFunc(asked, func(m member.Member) bool { return m.Host != f.Host })
	}
	args := EventsArgs{Filter: f, Limit: maxEvents / max(len(asked), 1)}
	answers := ask(ctx, c, asked, "Events", args, (*Peer).Events)
	lists := make([][]timeline.Event, 0, len(answers))
	for _, a := range answers {
		events := a.reply.Events
		switch {
		case a.err != nil:
			events = []timeline.Event{note(a.from, time.Now().Round(0), EventsUnavailable, a.err.Error())}
		case a.reply.Dropped > 0 && len(events) > 0:
			detail := fmt.Sprintf("%d older events are left out; use a filter", a.reply.Dropped)
			events = slices.Insert(events, 0, note(a.from, events[0].Time, EventsTruncated, detail))
		}
		lists = append(lists, events)
	}
	return timeline.Merge(lists...)
}

// note is an event by which the collector tells what is missing of a member.
func note(m member.Member, at time.Time, kind, detail string) timeline.Event {
	return timeline.Event{
		Time: at, Daemon: m.Name, Host: m.Host, FailureDomain: m.Domain, Kind: kind, Detail: detail,
	}
}

// Unlisted is the member state of the asked daemon while it is in no table.
const Unlisted member.State = "unlisted"

// members returns the members of all tables, silent and leaving ones included,
// and the asked daemon, whose status shows why it may not be among them.
func members(v member.View) []member.Member {
	var all []member.Member
	if _, listed := v.Find(v.Self.Name); !listed && v.Self.Name != "" {
		self := v.Self
		self.State = Unlisted
		all = append(all, self)
	}
	for _, domain := range v.Domains() {
		all = append(all, v.Tables[domain].Members...)
	}
	slices.SortFunc(all, func(x, y member.Member) int {
		return cmp.Or(cmp.Compare(x.Domain, y.Domain), cmp.Compare(x.Name, y.Name))
	})
	return all
}

type answer[R any] struct {
	from  member.Member
	reply R
	err   error
}

// ask calls the method at all members, silent ones last, and returns the answers
// in the order of the members. Each reply has its own value, because a call
// given up may still write to it.
func ask[A, R any](
	ctx context.Context, c *Collector, asked []member.Member, method string, args A, local func(*Peer, A, *R) error,
) []answer[R] {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	self := c.View().Self.Name
	answers := make([]answer[R], len(asked))
	var group errgroup.Group
	group.SetLimit(askParallel)
	start := func(i int) {
		group.Go(func() error {
			m, reply := asked[i], new(R)
			var err error
			if c.Local != nil && m.Name == self {
				err = local(c.Local, args, reply)
			} else {
				err = c.call(ctx, m, method, args, reply)
			}
			answers[i] = answer[R]{from: m, err: err}
			if err == nil {
				answers[i].reply = *reply
			}
			return nil
		})
	}
	for _, silent := range []bool{false, true} {
		for i, m := range asked {
			if (m.State == member.Silent) == silent {
				start(i)
			}
		}
	}
	_ = group.Wait() // the functions return no errors
	return answers
}

func (c *Collector) call(ctx context.Context, m member.Member, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("not asked: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return c.Link.Call(ctx, m.LinkAddress, PeerName+"."+method, args, reply)
}
