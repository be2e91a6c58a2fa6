package measure

import (
	"context"
	"time"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/usage"
)

// heartbeatArgs carry a daemon's usage report to its coordinator.
type heartbeatArgs struct {
	Report usage.Report
	Held   usage.Ack
}

// heartbeatReply carries the usage totals of all other daemons.
type heartbeatReply struct {
	Coordinator usage.Source
	Version     uint64
	Report      usage.Report
}

// exchangeArgs carry a failure domain's usage totals to another coordinator.
type exchangeArgs struct {
	Domain string
	Report usage.Report
	Held   usage.Ack // acknowledges the totals of the receiver's domain
}

// exchangeReply carries the usage totals of the receiver's failure domain.
type exchangeReply struct {
	Domain  string
	Report  usage.Report
	Version uint64
}

const defaultExchangeInterval = 200 * time.Millisecond

// coordinator returns the first live member of a failure domain, which acts as its
// coordinator.
func coordinator(v member.View, domain string) (member.Member, bool) {
	live := v.Tables[domain].Live()
	if len(live) == 0 {
		return member.Member{}, false
	}
	return live[0], true
}

// exchangeLoop reports to the domain's coordinator at every interval and, if the
// daemon is the coordinator, exchanges totals with the other coordinators.
func (n *Node) exchangeLoop(ctx context.Context) {
	interval := n.fleet.Times.ExchangeInterval
	if interval == 0 {
		interval = defaultExchangeInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	held := map[string]usage.Ack{} // acknowledgements of this domain's totals, by other domain
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		view := n.fleet.View()
		c, ok := coordinator(view, n.Member.Domain)
		if !ok {
			continue
		}
		n.report(ctx, c)
		if c.Name != n.Member.Name {
			continue
		}
		for _, domain := range view.Domains() {
			if other, ok := coordinator(view, domain); ok && domain != n.Member.Domain {
				n.exchangeWith(ctx, other, held)
			}
		}
	}
}

func (n *Node) report(ctx context.Context, c member.Member) {
	to := usage.Source{Daemon: c.Name, Incarnation: c.Incarnation}
	args := heartbeatArgs{Report: n.Ledger.Report(to), Held: n.Ledger.Applied()}
	var reply heartbeatReply
	if err := n.endpoint.Call(ctx, c.LinkAddress, "Coordinator.Heartbeat", args, &reply); err != nil {
		return
	}
	n.Ledger.Acknowledge(reply.Coordinator, reply.Version)
	n.Ledger.Apply(reply.Report)
}

func (n *Node) heartbeat(args, reply any) error {
	a, r := args.(heartbeatArgs), reply.(*heartbeatReply)
	r.Coordinator = n.self
	r.Version = n.aggregate.ApplyReport(a.Report)
	r.Report = n.aggregate.ReportFor(a.Report.Writer.Daemon, a.Held)
	return nil
}

func (n *Node) exchangeWith(ctx context.Context, other member.Member, held map[string]usage.Ack) {
	args := exchangeArgs{
		Domain: n.Member.Domain,
		Report: n.aggregate.DomainReport(held[other.Domain]),
		Held:   n.aggregate.DomainAck(other.Domain),
	}
	var reply exchangeReply
	if err := n.endpoint.Call(ctx, other.LinkAddress, "Coordinator.Exchange", args, &reply); err != nil {
		return
	}
	held[other.Domain] = usage.Ack{Writer: n.self, Version: reply.Version}
	n.aggregate.ApplyDomain(usage.DomainReport{Domain: reply.Domain, Report: reply.Report})
}

func (n *Node) exchange(args, reply any) error {
	a, r := args.(exchangeArgs), reply.(*exchangeReply)
	r.Domain = n.Member.Domain
	r.Version = n.aggregate.ApplyDomain(usage.DomainReport{Domain: a.Domain, Report: a.Report})
	r.Report = n.aggregate.DomainReport(a.Held)
	return nil
}
