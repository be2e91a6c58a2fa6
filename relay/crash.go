package relay

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/upstream"
)

const (
	// crashConfirmDelay is how long broken connections to one target are collected
	// before it is probed.
	crashConfirmDelay = 40 * time.Millisecond
	// probeTimeout bounds the connection attempt of the probe.
	probeTimeout = 400 * time.Millisecond
)

// RefusesConnections reports whether a target refuses connections, as after a
// crash. An unreachable target does not count.
func RefusesConnections(t config.Target) bool {
	conn, err := net.DialTimeout("tcp", upstream.AddressOf(t), probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// brokenConnections collects the fingerprints of requests whose connections broke,
// by target name.
type brokenConnections struct {
	mu           sync.Mutex
	fingerprints map[string][]uint64
}

// add adds a request and reports whether it is the first one for its target.
func (b *brokenConnections) add(target string, fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fingerprints == nil {
		b.fingerprints = map[string][]uint64{}
	}
	b.fingerprints[target] = append(b.fingerprints[target], fingerprint)
	return len(b.fingerprints[target]) == 1
}

func (b *brokenConnections) take(target string) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.fingerprints[target]
	delete(b.fingerprints, target)
	return list
}

// attemptEnded removes an attempt from those in flight. If its connection broke and
// ConfirmCrash is nil, it marks all requests that were in flight at the target. If
// ConfirmCrash is set, it marks only the requests whose connections to the target
// broke, once the crash is confirmed.
func (f *Forwarder) attemptEnded(c *Call, run *targetRun, connectionBroke bool) {
	if !connectionBroke || f.ConfirmCrash == nil {
		crash, fingerprints := f.tracker.removeAttempt(c, run, connectionBroke)
		if crash != "" {
			c.crashedAt = time.Now()
			f.recordCrash(c.crashedAt, crash, fingerprints)
			c.Record("target-crashed", crash)
		}
		return
	}
	f.tracker.removeAttempt(c, run, false)
	if target := c.Target; f.brokenConnections.add(target.Name, c.Fingerprint) {
		time.AfterFunc(crashConfirmDelay, func() {
			crashed := f.ConfirmCrash(target)
			if fingerprints := f.brokenConnections.take(target.Name); crashed {
				f.recordCrash(time.Now(), target.Name, fingerprints)
			}
		})
	}
}

// recordCrash marks the requests with the fingerprints. The crash is named by the
// target alone if ConfirmCrash is set, otherwise by the name that removeAttempt
// returned, which contains the incarnation if it is known.
func (f *Forwarder) recordCrash(at time.Time, crash string, fingerprints []uint64) {
	f.Logger.Warn().Str("crash", crash).Int("requests", len(fingerprints)).Msg("target crashed")
	if f.Quarantine != nil {
		f.Quarantine.RecordCrash(at, crash, fingerprints)
	}
	if f.OnMarked != nil {
		f.OnMarked()
	}
}
