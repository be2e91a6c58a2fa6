package relay

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/upstream"
)

const (
	// crashDelay is how long broken connections to one target are gathered before
	// it is asked whether it still runs.
	crashDelay = 40 * time.Millisecond
	// probeTimeout bounds the connection that asks it.
	probeTimeout = 400 * time.Millisecond
)

// Crashes tells crashed targets from broken connections, and marks the requests
// that were in flight there. The exported fields are set before the first call.
type Crashes struct {
	Poison *quarantine.Registry
	// Marked is called after requests were marked.
	Marked func()
	Logger zerolog.Logger

	mu      sync.Mutex
	pending map[string][]uint64 // fingerprints of broken requests, by target
}

// Broke tells that the connection broke while the target may have run the
// request.
func (c *Crashes) Broke(target config.Target, fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = map[string][]uint64{}
	}
	first := len(c.pending[target.Name]) == 0
	c.pending[target.Name] = append(c.pending[target.Name], fingerprint)
	if first {
		time.AfterFunc(crashDelay, func() { c.probe(target.Name, upstream.AddressOf(target)) })
	}
}

// probe marks the broken requests if the target no longer accepts connections.
func (c *Crashes) probe(target, address string) {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	c.mu.Lock()
	fingerprints := c.pending[target]
	delete(c.pending, target)
	c.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	at := time.Now()
	c.Poison.Crash(at, target, fingerprints)
	c.Logger.Warn().Str("target", target).Int("requests", len(fingerprints)).Msg("target crashed")
	c.Marked()
}
