package coordinator

import (
	"context"
	"fmt"
	"time"

	"rattanline.example/rattanline/member"
)

// Leave publishes this daemon as leaving, so that entries and ownership skip
// it, and gives the coordinator's role to another live daemon. The daemon
// continues to take part until Run ends.
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

// handOver gives up the role and its lease if another daemon can take it.
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
		n.Logger.Warn().Err(err).Msg("lease not revoked; it expires")
	}
}

// announceStop tells the coordinator that this run ends, after which its follower
// lease counts no longer. A daemon that didn't leave is treated as crashed.
func (n *Node) announceStop() {
	n.mu.Lock()
	leaving, ro, leader := n.leaving, n.role, n.follower.leader
	if ro != nil && leaving {
		e := ro.statuses[n.Self.Name]
		e.Gone = true
		ro.statuses[n.Self.Name] = e
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
		n.Logger.Warn().Err(err).Msg("coordinator doesn't know that this daemon stops")
	}
}

// publishOwnRemoval removes a coordinator that stops from its own table. It does so
// only if there was no live member to take over the role before.
func (n *Node) publishOwnRemoval(ro *role) {
	ctx, cancel := context.WithTimeout(context.Background(), n.CallTimeout)
	defer cancel()
	ro.published = time.Time{}
	if err := n.publish(ctx, ro); err != nil {
		n.Logger.Warn().Err(err).Msg("member table doesn't show that this daemon stops")
	}
}
