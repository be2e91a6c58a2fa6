package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
)

const coordinatorPrefix = "rattanline/coordinators/"

// platformState is the state of this daemon's calls to the key-value service.
type platformState struct {
	failing bool // the last call failed
	backoff *backoff.ExponentialBackOff
	next    time.Time // time before which no call is made
	listed  time.Time // when the coordinators were listed, with jitter
	// lease is the last lease that this run acquired for its record. The write
	// of the record may have taken effect even if it failed.
	lease   int64
	granted time.Time
}

// newBackoff returns delays that grow to 10 s with a jitter of 50 %, so that the
// coordinators of all domains don't retry together after an outage.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = 500*time.Millisecond, 10*time.Second
	return b
}

func (n *Node) recordKey() string { return coordinatorPrefix + n.Self.Domain }

// platformLoop makes the calls to the key-value service one at a time, except
// those for the configuration and on leaving. A daemon that is neither
// coordinator nor candidate makes none.
func (n *Node) platformLoop(ctx context.Context) error {
	n.mu.Lock()
	n.platform.backoff = newBackoff()
	n.mu.Unlock()
	return every(ctx, n.Interval/2, nil, func() {
		n.mu.Lock()
		ro, candidate, now := n.role, n.follower.candidate, time.Now()
		sinceContact := now.Sub(n.follower.lastAnswered)
		wait := now.Before(n.platform.next)
		n.mu.Unlock()
		var err error
		switch {
		case wait:
		case ro != nil:
			err = n.maintain(ctx, ro)
		case candidate && sinceContact >= n.CampaignAfter:
			err = n.campaign(ctx)
		default:
			return
		}
		n.platformResult(ctx, err, wait)
		if ro == nil && candidate {
			n.takeOverUnconfirmed(sinceContact)
		}
	})
}

// platformResult records the result of a call to the platform, and delays the
// next call after a failure.
func (n *Node) platformResult(ctx context.Context, err error, skipped bool) {
	if skipped || ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		if n.platform.failing {
			n.record("platform-available", "")
		}
		n.platform.failing = false
		n.platform.backoff.Reset()
		return
	}
	if !n.platform.failing {
		n.record("platform-unavailable", err.Error())
	}
	n.platform.failing = true
	n.platform.next = time.Now().Add(n.platform.backoff.NextBackOff())
}

// campaign creates the coordinator's record if there is none.
func (n *Node) campaign(ctx context.Context) error {
	e, err := n.readRecord(ctx)
	if err != nil {
		return err
	}
	if e.Revision > 0 {
		return n.handleExistingRecord(ctx, e)
	}
	term, lease, sent, err := n.acquire(ctx)
	if err != nil || term == 0 {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmLease(n.ensureRole(term), term, lease, sent, n.CoordinatorLease)
	return nil
}

func (n *Node) readRecord(ctx context.Context) (port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	e, err := n.KeyValue.Get(ctx, n.recordKey())
	if err != nil {
		return e, fmt.Errorf("read coordinator: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noteOutsideContact(time.Now())
	return e, nil
}

// acquire writes the record under a new lease and returns its revision as the
// term. Term 0 without an error means that another daemon has written its record
// first.
func (n *Node) acquire(ctx context.Context) (term, lease int64, sent time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	sent = time.Now()
	lease, err = n.KeyValue.GrantLease(ctx, n.CoordinatorLease)
	if err != nil {
		return 0, 0, sent, fmt.Errorf("grant lease: %w", err)
	}
	n.mu.Lock()
	n.platform.lease, n.platform.granted = lease, sent
	n.mu.Unlock()
	value, err := encodeContact(Contact{
		Name: n.Self.Name, Incarnation: n.Self.Incarnation, Domain: n.Self.Domain, Address: n.Self.LinkAddress,
	})
	if err != nil {
		return 0, 0, sent, err
	}
	result, err := n.KeyValue.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: n.recordKey()}},
		Writes:     []port.Write{{Key: n.recordKey(), Value: value, Lease: lease}},
	})
	switch {
	case err != nil:
		// If the write took effect, the next read finds this run's record.
		return 0, 0, sent, fmt.Errorf("write coordinator: %w", err)
	case !result.Committed:
		// The unused lease expires without a call.
		return 0, 0, sent, nil
	}
	return result.Revision, lease, sent, nil
}

// handleExistingRecord handles a record found by a candidate, or by a
// coordinator that lost its lease. If the record is this run's own, because the
// response to the write was lost, it renews the lease. Otherwise it records the
// other coordinator.
func (n *Node) handleExistingRecord(ctx context.Context, e port.Entry) error {
	c, err := decodeContact(e)
	if err != nil {
		return err
	}
	n.mu.Lock()
	lease, own := n.platform.lease, c.Name == n.Self.Name && c.Incarnation == n.Self.Incarnation
	if !own {
		n.updateContact(c, false)
		n.platform.next = time.Now().Add(jitter(time.Second, 0.3))
	}
	n.mu.Unlock()
	if !own || lease == 0 {
		return nil
	}
	sent := time.Now()
	ttl, err := n.KeyValue.RenewLease(ctx, lease)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	if ttl <= 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmLease(n.ensureRole(e.Revision), e.Revision, lease, sent, ttl)
	return nil
}

// ensureRole returns the role for a record that this run wrote, and begins the
// term if needed. A daemon that is leaving doesn't begin it and returns nil; its
// record expires with the lease.
func (n *Node) ensureRole(term int64) *role {
	if n.role == nil && !n.leaving {
		n.beginTerm(member.Epoch{Revision: term}, time.Now())
	}
	return n.role
}

// confirmLease records a valid lease. Its duration counts from the time when the
// call was sent, so that it ends here before another daemon can acquire it.
func (n *Node) confirmLease(ro *role, term, lease int64, sent time.Time, ttl time.Duration) {
	now := time.Now()
	if ro == nil || n.role != ro {
		// The role ended while the call was in progress.
		return
	}
	ro.lease, ro.renewed = lease, sent
	ro.validUntil = sent.Add(min(ttl, n.CoordinatorLease) - n.LeaseMargin)
	if ro.term.Revision != term {
		ro.term = member.Epoch{Revision: term}
		ro.tableRead = false
	}
	n.updateContact(ro.contact(n, now), false)
	n.noteOutsideContact(now)
}

// maintain makes the coordinator's next call to the platform, if one is due.
func (n *Node) maintain(ctx context.Context, ro *role) error {
	now := time.Now()
	n.mu.Lock()
	lease, renewed, listed := ro.lease, ro.renewed, n.platform.listed
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	switch {
	case lease == 0:
		return n.campaign(ctx)
	case now.Sub(renewed) >= n.CoordinatorLease/3:
		return n.renew(ctx, ro)
	case !ro.confirmed(now):
		return nil
	case !ro.tableRead:
		return n.readTable(ctx, ro)
	case listed.IsZero() || now.Sub(listed) >= n.RelistInterval:
		return n.list(ctx, listed.IsZero())
	}
	return n.publish(ctx, ro)
}

func (n *Node) renew(ctx context.Context, ro *role) error {
	sent := time.Now()
	ttl, err := n.KeyValue.RenewLease(ctx, ro.lease)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if ttl <= 0 {
		ro.lease, ro.validUntil = 0, time.Time{}
		return nil
	}
	n.confirmLease(ro, ro.term.Revision, ro.lease, sent, ttl)
	return nil
}

// checkRecord steps down if the record belongs to another run. If the record is
// missing or of another term, the lease is no longer valid.
func (n *Node) checkRecord(ctx context.Context, ro *role) error {
	e, err := n.readRecord(ctx)
	if err != nil || e.Revision == ro.term.Revision {
		return err
	}
	n.mu.Lock()
	ro.lease, ro.validUntil = 0, time.Time{}
	n.mu.Unlock()
	if e.Revision == 0 {
		return nil
	}
	c, err := decodeContact(e)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == ro && c.runID() != ro.contact(n, time.Now()).runID() {
		n.updateContact(c, false)
		n.stepDown("record belongs to " + c.Name)
	}
	return nil
}

// list reads the coordinators of all domains, and their tables if requested.
func (n *Node) list(ctx context.Context, tables bool) error {
	entries, err := n.KeyValue.List(ctx, coordinatorPrefix)
	if err != nil {
		return fmt.Errorf("list coordinators: %w", err)
	}
	var domains []port.Entry
	if tables {
		if domains, err = n.KeyValue.List(ctx, "rattanline/domains/"); err != nil {
			return fmt.Errorf("list tables: %w", err)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range entries {
		c, err := decodeContact(e)
		if err != nil {
			n.Logger.Error().Err(err).Str("key", e.Key).Msg("failed to decode a coordinator's record")
			continue
		}
		if c.Name != n.Self.Name {
			n.updateContact(c, false)
		}
	}
	for _, e := range domains {
		n.adoptTableEntry(e)
	}
	n.platform.listed = time.Now().Add(-jitter(n.RelistInterval, 0.1) + n.RelistInterval)
	return nil
}
