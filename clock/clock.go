// Package clock measures time spans that include the time for which the host was
// suspended. Go's monotonic clock stops during a suspension, so that an age taken
// from it is too low afterwards.
package clock

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on the host's boot clock, in nanoseconds. The zero value is before
// all instants of a running process.
type Instant int64

const (
	// maxReadingAge is how long the offset of the boot clock is reused before the clock
	// is read again, because each reading is a system call.
	maxReadingAge = 100 * time.Millisecond
	// stepLimit is the change of the wall clock against the monotonic clock above which
	// the boot clock is read at once. A suspension changes the wall clock's offset by
	// the length of the suspension.
	stepLimit = time.Millisecond
	// maxReadingTime is how long a reading of both clocks takes at most if nothing
	// delays the process in between.
	maxReadingTime = 50 * time.Microsecond
	// maxReadings bounds how often a delayed reading is repeated.
	maxReadings = 8
)

// clockOffsets holds the offsets of the boot clock and the wall clock from the
// monotonic clock.
type clockOffsets struct {
	at         time.Duration // time of the reading on the monotonic clock, since started
	boot, wall time.Duration
}

var (
	started     = time.Now()
	lastReading atomic.Pointer[clockOffsets]
)

// Now returns the current time. If the boot clock can't be read, it uses the monotonic
// clock instead.
func Now() Instant {
	now := time.Now()
	monotonic := now.Sub(started)
	wall := time.Duration(now.UnixNano()) - monotonic
	r := lastReading.Load()
	if r == nil || monotonic-r.at > maxReadingAge || (wall-r.wall).Abs() > stepLimit {
		r = &clockOffsets{at: monotonic, boot: bootOffset(bootTime, monotonicTime), wall: wall}
		lastReading.Store(r)
	}
	return Instant(monotonic + r.boot)
}

// bootOffset returns the offset of the boot clock from the monotonic clock. A process that
// is stopped between the readings of the two would take the time of the stop for an offset,
// so a reading that took long is repeated, and the shortest one is used.
func bootOffset(boot, monotonic func() time.Duration) time.Duration {
	var offset, shortest time.Duration
	for i := range maxReadings {
		before := monotonic()
		read := boot()
		took := monotonic() - before
		if i == 0 || took < shortest {
			offset, shortest = read-before-took/2, took
		}
		if shortest <= maxReadingTime {
			break
		}
	}
	return offset
}

// monotonicTime returns the time on the monotonic clock since the process started.
func monotonicTime() time.Duration { return time.Since(started) }

// bootTime returns the time on the boot clock, or a value derived from the monotonic
// clock if the boot clock can't be read.
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

// Decay returns the part that is left now of a value that decays exponentially since an instant,
// with the time constant. It is 1 if the instant is after now, which may have been read before a lock
// was taken.
func Decay(now, since Instant, constant time.Duration) float64 {
	return math.Exp(-max(now.Sub(since), 0).Seconds() / constant.Seconds())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
