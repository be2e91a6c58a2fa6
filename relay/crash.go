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
	// crashDelay is how long broken connections to one target are gathered before
	// it is asked whether it still runs.
	crashDelay = 40 * time.Millisecond
	// probeTimeout bounds the connection that asks it.
	probeTimeout = 400 * time.Millisecond
)

// RefusesConnections tells that a target accepts no connections, as after a crash.
func RefusesConnections(t config.Target) bool {
	conn, err := net.DialTimeout("tcp", upstream.AddressOf(t), probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// broken gathers requests whose connections broke, by target.
type broken struct {
	mu           sync.Mutex
	fingerprints map[string][]uint64
}

// add notes a request and tells whether it is the first one at its target.
func (b *broken) add(target string, fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fingerprints == nil {
		b.fingerprints = map[string][]uint64{}
	}
	b.fingerprints[target] = append(b.fingerprints[target], fingerprint)
	return len(b.fingerprints[target]) == 1
}

func (b *broken) take(target string) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.fingerprints[target]
	delete(b.fingerprints, target)
	return list
}

// left takes the end of an attempt, and marks the requests that were in flight
// at a target that crashed.
func (p *Forwarder) left(c *Call, run *targetRun, brokeOff bool) {
	if !brokeOff || p.ConfirmCrash == nil {
		crash, fingerprints := p.running.leave(c, run, brokeOff)
		if crash != "" {
			c.crashed = time.Now()
			p.mark(c.crashed, crash, fingerprints)
			c.Record("target-crashed", crash)
		}
		return
	}
	p.running.leave(c, run, false)
	if target := c.Target; p.broken.add(target.Name, c.Fingerprint) {
		time.AfterFunc(crashDelay, func() {
			crashed := p.ConfirmCrash(target)
			if fingerprints := p.broken.take(target.Name); crashed {
				p.mark(time.Now(), target.Name, fingerprints)
			}
		})
	}
}

func (p *Forwarder) mark(at time.Time, crash string, fingerprints []uint64) {
	p.Logger.Warn().Str("crash", crash).Int("requests", len(fingerprints)).Msg("target crashed")
	if p.Quarantine != nil {
		p.Quarantine.RecordCrash(at, crash, fingerprints)
	}
	if p.OnMarked != nil {
		p.OnMarked()
	}
}
