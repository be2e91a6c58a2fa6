package operator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/timeline"
)

// Limits of one collection: a silent daemon must not delay the others, and the
// asking daemon must not open hundreds of calls at once.
const (
	askTimeout  = time.Second
	askParallel = 16
)

// NoAnswer is the kind of the event that stands for a daemon whose events could
// not be read.
const NoAnswer = "events-unavailable"

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

// Events returns the events of every member in one order. A member that doesn't
// answer is represented by an event of the kind NoAnswer.
func (c *Collector) Events(ctx context.Context, f timeline.Filter) []timeline.Event {
	asked := members(c.View())
	if f.Host != "" {
		asked = slices.DeleteFunc(asked, func(m member.Member) bool { return m.Host != f.Host })
	}
	answers := ask(ctx, c, asked, "Events", EventsArgs{Filter: f}, (*Peer).Events)
	lists := make([][]timeline.Event, 0, len(answers))
	for _, a := range answers {
		if a.err != nil {
			a.reply.Events = []timeline.Event{{
				Time: time.Now().Round(0), Daemon: a.from.Name, Host: a.from.Host,
				FailureDomain: a.from.Domain, Kind: NoAnswer, Detail: a.err.Error(),
			}}
		}
		lists = append(lists, a.reply.Events)
	}
	return timeline.Merge(lists...)
}

// members returns the members of all tables, silent and leaving ones included.
func members(v member.View) []member.Member {
	var all []member.Member
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

// ask calls the method at all members, in the order of the members. Each reply
// has its own value, because a call given up may still write to it.
func ask[A, R any](
	ctx context.Context, c *Collector, asked []member.Member, method string, args A, local func(*Peer, A, *R) error,
) []answer[R] {
	self := c.View().Self.Name
	answers := make([]answer[R], len(asked))
	var group errgroup.Group
	group.SetLimit(askParallel)
	for i, m := range asked {
		group.Go(func() error {
			reply := new(R)
			var err error
			if c.Local != nil && m.Name == self {
				err = local(c.Local, args, reply)
			} else {
				limited, cancel := context.WithTimeout(ctx, askTimeout)
				defer cancel()
				err = c.Link.Call(limited, m.LinkAddress, PeerName+"."+method, args, reply)
			}
			answers[i] = answer[R]{from: m, err: err}
			if err == nil {
				answers[i].reply = *reply
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return answers
}
