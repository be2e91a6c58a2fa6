package relay

import (
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/request"
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

// interruption describes a request whose connection to its target broke.
type interruption struct {
	request     string
	fingerprint uint64
	content     uint64
	segments    []request.Segment
	events      int // received before the connection broke
	// sentOn reports whether the daemon had sent the request on after its connection to another
	// target broke.
	sentOn      bool
	sent, ended clock.Instant
}

// brokenConnections collects the requests whose connections broke, by target name.
type brokenConnections struct {
	mu            sync.Mutex
	interruptions map[string][]interruption
}

// add adds a request and reports whether it is the first one for its target.
func (b *brokenConnections) add(target string, i interruption) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interruptions == nil {
		b.interruptions = map[string][]interruption{}
	}
	b.interruptions[target] = append(b.interruptions[target], i)
	return len(b.interruptions[target]) == 1
}

func (b *brokenConnections) take(target string) []interruption {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.interruptions[target]
	delete(b.interruptions, target)
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
			f.recordCrash(c.crashedAt, crash, fingerprints, nil)
			c.Record("target-crashed", crash)
		}
		return
	}
	f.tracker.removeAttempt(c, run, false)
	interrupted := interruptionOf(c)
	c.interrupted = true
	if target := c.Target; f.brokenConnections.add(target.Name, interrupted) {
		time.AfterFunc(crashConfirmDelay, func() {
			crashed := f.ConfirmCrash(target)
			if interrupted := f.brokenConnections.take(target.Name); crashed {
				f.logInterrupted(target.Name, interrupted)
				if f.Segments != nil {
					f.Segments.RecordCrash(target.Name, suspectsOf(interrupted))
				}
				f.recordCrash(time.Now(), target.Name, fingerprintsOf(interrupted), lateFingerprintsOf(interrupted))
			}
		})
	}
}

// late reports whether the answer of the request had gone on when the crash interrupted it.
func (i interruption) late() bool { return i.events >= continuingEvents }

// fingerprintsOf returns the fingerprints of the requests whose answers had not gone on. A
// request marks one target only before its caller sends it again: targets that crash together
// interrupt it once more when it is sent on from one of them to another.
func fingerprintsOf(interrupted []interruption) []uint64 {
	var list []uint64
	for _, i := range interrupted {
		if !i.late() && !i.sentOn {
			list = append(list, i.fingerprint)
		}
	}
	return list
}

// lateFingerprintsOf returns the fingerprints of the requests whose answers had gone on. One that
// was sent on counts too: the target that it was sent to answered it after the crash before.
func lateFingerprintsOf(interrupted []interruption) []uint64 {
	var list []uint64
	for _, i := range interrupted {
		if i.late() {
			list = append(list, i.fingerprint)
		}
	}
	return list
}

const (
	// maxLoggedInterruptions bounds the requests that are logged for one crash.
	maxLoggedInterruptions = 64
	// maxLoggedSegments bounds the prompt segments that are logged for one request.
	maxLoggedSegments = 8
)

// logInterrupted writes a log line for each request that a crash interrupted, with the segments
// of its prompt.
func (f *Forwarder) logInterrupted(crash string, interrupted []interruption) {
	for _, i := range interrupted[:min(len(interrupted), maxLoggedInterruptions)] {
		segments := zerolog.Arr()
		for _, s := range i.segments[:min(len(i.segments), maxLoggedSegments)] {
			segments.Str(s.ID)
		}
		f.Logger.Info().Str("crash", crash).Str("request", i.request).Int("events", i.events).
			Str("fingerprint", strconv.FormatUint(i.fingerprint, 16)).Int("segment-count", len(i.segments)).Array("segments", segments).
			Msg("request interrupted by a crash")
	}
}

// recordCrash marks the requests with the fingerprints, late those whose answers had gone on. The
// crash is named by the target alone if ConfirmCrash is set, otherwise by the name that
// removeAttempt returned, which contains the incarnation if it is known.
func (f *Forwarder) recordCrash(at time.Time, crash string, fingerprints, late []uint64) {
	f.Logger.Warn().Str("crash", crash).Int("requests", len(fingerprints)).Int("late", len(late)).Msg("target crashed")
	if f.Quarantine != nil {
		f.Quarantine.RecordCrash(at, crash, fingerprints)
		f.Quarantine.RecordLateCrash(at, crash, late)
	}
	if f.OnMarked != nil {
		f.OnMarked()
	}
}
