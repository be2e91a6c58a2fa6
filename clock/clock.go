// Package clock measures time spans that include those in which the machine was
// suspended. Go's monotonic clock stops then, so that an age taken from it is
// too low after a suspension.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on the machine's boot clock. The zero value is before
// all moments of a running process.
type Instant int64

const (
	// readTime is how long the distance of the boot clock from the monotonic one is
	// used before it is read again: each reading is a system call.
	readTime = 100 * time.Millisecond
	// stepLimit is the change of the time of day against the monotonic clock above
	// which the distance is read at once. A suspension changes it by its length.
	stepLimit = time.Millisecond
)

// reading is the distance of two clocks from the monotonic one.
type reading struct {
	at         time.Duration // on the monotonic clock, since started
	boot, wall time.Duration
}

var (
	started = time.Now()
	last    atomic.Pointer[reading]
)

// Now returns the present moment. Where the boot clock can't be read, the
// monotonic clock stands in.
func Now() Instant {
	now := time.Now()
	monotonic := now.Sub(started)
	wall := time.Duration(now.UnixNano()) - monotonic
	r := last.Load()
	if r == nil || monotonic-r.at > readTime || (wall-r.wall).Abs() > stepLimit {
		r = &reading{at: monotonic, boot: bootTime() - time.Since(started), wall: wall}
		last.Store(r)
	}
	return Instant(monotonic + r.boot)
}

// bootTime returns the time on the boot clock.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(started) + time.Hour
	}
	return time.Duration(t.Nano())
}

// Since returns the time from the instant until now.
func (i Instant) Since() time.Duration { return Now().Sub(i) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
