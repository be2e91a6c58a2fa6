package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
)

// watchLoop watches the configuration while this daemon is coordinator with a
// valid lease and the platform is available.
func (n *Node) watchLoop(ctx context.Context) error {
	delays := newBackoff()
	return every(ctx, n.Interval, nil, func() {
		n.mu.Lock()
		ro, now := n.role, time.Now()
		ready := ro != nil && ro.confirmed(now) && !n.platform.failing
		n.mu.Unlock()
		if !ready {
			return
		}
		started := now
		err := n.watchConfiguration(ctx, ro)
		if ctx.Err() != nil || ro.ended.Err() != nil {
			return
		}
		if time.Since(started) > time.Minute {
			delays.Reset()
		}
		n.Logger.Warn().Err(err).Msg("configuration watch ended")
		sleep(ctx, delays.NextBackOff())
	})
}

// watchConfiguration reads the configuration and watches it for changes until
// the watch fails or the role ends.
func (n *Node) watchConfiguration(ctx context.Context, ro *role) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ro.ended, cancel)()
	// The store's revision is obtained before the read, so that the watch also
	// delivers a change made between the two calls, and doesn't start at a
	// compacted revision.
	result, err := n.KeyValue.Commit(ctx, port.Transaction{})
	if err != nil {
		return fmt.Errorf("read revision: %w", err)
	}
	if err := n.readConfiguration(ctx); err != nil {
		return err
	}
	err = n.KeyValue.Watch(ctx, n.ConfigurationKey, result.Revision, func(e port.Event) {
		n.mu.Lock()
		n.noteOutsideContact(time.Now())
		n.mu.Unlock()
		if !e.Deleted && e.Entry.Key == n.ConfigurationKey {
			n.receiveConfiguration(e.Entry.Value)
		}
	})
	if errors.Is(err, port.ErrCompacted) {
		n.record("watch-compacted", "")
	}
	return fmt.Errorf("watch configuration: %w", err)
}

func (n *Node) readConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	e, err := n.KeyValue.Get(ctx, n.ConfigurationKey)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	if e.Revision > 0 {
		n.receiveConfiguration(e.Value)
	}
	return nil
}

// fetchConfiguration reads the configuration for a daemon that knows of a newer
// version which the watch hasn't delivered yet.
func (n *Node) fetchConfiguration(ctx context.Context) {
	if err := n.readConfiguration(ctx); err != nil {
		n.Logger.Warn().Err(err).Msg("failed to read a newer configuration")
	}
}

func (n *Node) receiveConfiguration(value []byte) {
	d, err := n.DecodeConfiguration(value)
	if err != nil {
		n.Logger.Error().Err(err).Msg("failed to decode the configuration")
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adoptConfiguration(d)
}

// adoptConfiguration puts a configuration in force if its version is newer than
// the current one.
func (n *Node) adoptConfiguration(d config.Document) {
	if d.Version <= n.doc.Load().Version {
		return
	}
	n.history.add(*n.doc.Load())
	n.doc.Store(&d)
	n.docAccepted = time.Now()
	n.record("configuration-in-force", fmt.Sprint(d.Version))
}
