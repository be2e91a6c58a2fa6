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

const (
	// queryTimeout bounds the call to one daemon, so that a silent daemon doesn't
	// delay the others.
	queryTimeout = time.Second
	// maxParallelQueries bounds the number of concurrent calls, which could
	// otherwise be hundreds.
	maxParallelQueries = 16
	// collectTimeout bounds the whole collection. In a large fleet with many silent
	// daemons, the collection must end before the operator's client times out, and
	// return what it has received by then.
	collectTimeout = 20 * time.Second
)

// maxEvents is the maximum number of events of one collection, which is divided
// equally among the daemons. It limits a collection to about 20 MB, because a daemon
// has 256 MB of memory.
const maxEvents = 100_000

// Kinds of events that the collector adds.
const (
	EventsUnavailable = "events-unavailable" // the daemon's events could not be read
	EventsTruncated   = "events-truncated"   // older events of the daemon are omitted
)

// Collector queries all daemons for their status and events.
type Collector struct {
	Link port.Link
	// View returns the current member tables.
	View func() member.View
	// Local answers the queries to this daemon itself. If it is nil, they are sent
	// over the link as well.
	Local *Peer
}

// Status returns the status of every member, ordered by failure domain and name.
func (c *Collector) Status(ctx context.Context) []HostStatus {
	view := c.View()
	args := StatusArgs{From: view.Self.Name}
	replies := queryMembers(ctx, c, members(view), "Status", args, (*Peer).Status)
	status := make([]HostStatus, 0, len(replies))
	for _, r := range replies {
		h := HostStatus{
			Daemon:        r.from.Name,
			Host:          r.from.Host,
			FailureDomain: r.from.Domain,
			Address:       r.from.LinkAddress,
			MemberState:   string(r.from.State),
			StatusReply:   r.reply,
		}
		if r.err != nil {
			h.Error = r.err.Error()
		}
		status = append(status, h)
	}
	return status
}

// Events returns the events of every member, ordered by time, daemon and sequence.
// An event of the kind EventsUnavailable or EventsTruncated describes which events
// of a member are missing.
func (c *Collector) Events(ctx context.Context, f timeline.Filter) []timeline.Event {
	queried := members(c.View())
	if f.Host != "" {
		queried = slices.DeleteFunc(queried, func(m member.Member) bool { return m.Host != f.Host })
	}
	args := EventsArgs{Filter: f, Limit: maxEvents / max(len(queried), 1)}
	replies := queryMembers(ctx, c, queried, "Events", args, (*Peer).Events)
	lists := make([][]timeline.Event, 0, len(replies))
	for _, r := range replies {
		events := r.reply.Events
		switch {
		case r.err != nil:
			events = []timeline.Event{missingEventsNotice(r.from, time.Now().Round(0), EventsUnavailable, r.err.Error())}
		case r.reply.Dropped > 0 && len(events) > 0:
			detail := fmt.Sprintf("%d older events are left out; use a filter", r.reply.Dropped)
			events = slices.Insert(events, 0, missingEventsNotice(r.from, events[0].Time, EventsTruncated, detail))
		}
		lists = append(lists, events)
	}
	return timeline.Merge(lists...)
}

// missingEventsNotice returns an event that describes which events of a member are
// missing.
func missingEventsNotice(m member.Member, at time.Time, kind, detail string) timeline.Event {
	return timeline.Event{
		Time: at, Daemon: m.Name, Host: m.Host, FailureDomain: m.Domain, Kind: kind, Detail: detail,
	}
}

// Unlisted is the member state of the daemon that runs the collection if no member
// table contains it.
const Unlisted member.State = "unlisted"

// members returns the members of all tables, including silent and leaving ones. If
// no table contains the daemon that runs the collection, it is added, because its
// status may show why.
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

// memberReply is the reply of one member, or the error of the call.
type memberReply[R any] struct {
	from  member.Member
	reply R
	err   error
}

// queryMembers calls the method at all members, silent ones last, and returns the
// replies in the order of the members. Each call has its own reply value, because a
// call that timed out may still write to it.
func queryMembers[A, R any](
	ctx context.Context, c *Collector, queried []member.Member, method string, args A, local func(*Peer, A, *R) error,
) []memberReply[R] {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	self := c.View().Self.Name
	replies := make([]memberReply[R], len(queried))
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	start := func(i int) {
		group.Go(func() error {
			m, reply := queried[i], new(R)
			var err error
			if c.Local != nil && m.Name == self {
				err = local(c.Local, args, reply)
			} else {
				err = c.call(ctx, m, method, args, reply)
			}
			replies[i] = memberReply[R]{from: m, err: err}
			if err == nil {
				replies[i].reply = *reply
			}
			return nil
		})
	}
	for _, silent := range []bool{false, true} {
		for i, m := range queried {
			if (m.State == member.Silent) == silent {
				start(i)
			}
		}
	}
	_ = group.Wait() // the functions return no errors
	return replies
}

func (c *Collector) call(ctx context.Context, m member.Member, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("not asked: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return c.Link.Call(ctx, m.LinkAddress, PeerName+"."+method, args, reply)
}
