package coordinator

import (
	"context"
	"fmt"
	"time"

	"rattanline.example/rattanline/member"
)

// Leave publishes this daemon as leaving, so that it is sent no new requests and
// owns no targets, and hands the coordinator's role over to another live daemon.
// The daemon remains a member until Run ends. The error is that of ctx if it
// ends before the change is published.
func (n *Node) Leave(ctx context.Context) error {
	n.init()
	n.mu.Lock()
	n.leaving = true
	n.Self.State = member.Leaving
	v := *n.view.Load()
	v.Self = n.Self
	n.view.Store(&v)
	n.mu.Unlock()
	for {
		n.mu.Lock()
		m, ok := n.table().Find(n.Self.Name)
		done := !ok || m.Incarnation != n.Self.Incarnation || m.State != member.Live
		n.mu.Unlock()
		if done {
			n.handOver(ctx)
			return nil
		}
		if !sleep(ctx, n.Interval/4) {
			return fmt.Errorf("leave: %w", ctx.Err())
		}
	}
}

// handOver gives up the role and its lease if another live daemon can take over.
func (n *Node) handOver(ctx context.Context) {
	n.mu.Lock()
	ro := n.role
	if ro == nil || len(n.table().Live()) == 0 {
		n.mu.Unlock()
		return
	}
	lease := ro.lease
	n.releasedTerm = ro.contact(n, time.Now())
	n.stepDown("leaving")
	n.mu.Unlock()
	n.revoke(ctx, lease)
}

func (n *Node) revoke(ctx context.Context, lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, n.CallTimeout)
	defer cancel()
	if err := n.KeyValue.RevokeLease(ctx, lease); err != nil {
		n.Logger.Warn().Err(err).Msg("failed to revoke the coordinator's lease; it will expire")
	}
}

// announceStop reports to the coordinator that this run ends, so that its
// follower lease stops counting. A daemon that didn't leave before reports
// nothing and is treated as crashed.
func (n *Node) announceStop() {
	n.mu.Lock()
	leaving, ro, leader := n.leaving, n.role, n.follower.leader
	if ro != nil && leaving {
		s := ro.statuses[n.Self.Name]
		s.Gone = true
		ro.statuses[n.Self.Name] = s
		n.mu.Unlock()
		n.publishOwnRemoval(ro)
		n.mu.Lock()
	}
	n.stepDown("stopped")
	// No share may be used once the coordinator stops counting this daemon.
	n.auth.Store(&authority{})
	args := n.heartbeatArgs(destination{address: leader.Address, contact: leader}, time.Now())
	n.mu.Unlock()
	if !leaving {
		return
	}
	if ro != nil {
		n.revoke(context.Background(), ro.lease)
		return
	}
	if leader.Name == "" {
		return
	}
	args.Gone, args.Follow = true, false
	ctx, cancel := context.WithTimeout(context.Background(), n.CallTimeout)
	defer cancel()
	var reply HeartbeatReply
	if err := n.Link.Call(ctx, leader.Address, "Coordinator.Heartbeat", args, &reply); err != nil {
		n.Logger.Warn().Err(err).Msg("failed to report the stop to the coordinator")
	}
}

// publishOwnRemoval publishes a table with the stopping coordinator as gone. The
// coordinator still has its role then only if there was no live member to hand
// it over to, or if Leave ended with an error.
func (n *Node) publishOwnRemoval(ro *role) {
	ctx, cancel := context.WithTimeout(context.Background(), n.CallTimeout)
	defer cancel()
	ro.published = time.Time{}
	if err := n.publish(ctx, ro); err != nil {
		n.Logger.Warn().Err(err).Msg("failed to publish this daemon's stop in the member table")
	}
}
