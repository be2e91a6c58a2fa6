package edge

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// costTimeConstant is the time constant of the processor time per request.
	costTimeConstant = 3 * time.Second
	// minCostRequests is how many requests must have been served within the last seconds for
	// their processor time to count.
	minCostRequests = 10
	// paceBurstTime is the time in which a host must be able to serve the requests that are
	// accepted at once.
	paceBurstTime = 200 * time.Millisecond
	// passOnCost is the processor time of a request that is passed on, as a fraction of that of
	// one that is served. The limit settles where the host has time for both, whatever the
	// fraction is; it would need a correct one only while the mix changes.
	passOnCost = float64(passOnTokens) / requestTokens
	// requestTokens and passOnTokens are the tokens of the limiter that a request takes.
	requestTokens, passOnTokens = 20, 10
	// passRateTimeConstant is the time constant of the rate of requests that are passed on.
	passRateTimeConstant = 250 * time.Millisecond
	// reservedFraction is the fraction of the host's processor time that requests are accepted
	// for however many are passed on.
	reservedFraction = 0.1
	// reservedDebt is the debt of the limiter, as a fraction of its burst, from which on they are:
	// a smaller one is paid off between two requests.
	reservedDebt = 0.125
)

// pace limits the accepted requests to those that the host has processor time for, by what
// the last requests took. The processor time of a request is spent after it was accepted,
// so that the measured load shows a sudden flood only once too much of it was accepted. The
// zero value is ready for use. It is safe for concurrent use.
type pace struct {
	mu      sync.Mutex
	limiter *rate.Limiter // of requestTokens for each request; nil means no limit
	// reserved limits the requests that are served while passing on takes all of limiter.
	reserved *rate.Limiter
	capacity float64 // requests per second that the host has processor time for
	servable float64 // what the requests that are passed on leave of capacity
	work     float64 // decaying number of requests; one that is passed on counts passOnCost
	used     float64 // decaying processor time in seconds
	serving  float64 // requests per second that are served
	passing  float64 // requests per second that are passed on
}

// sample is a measurement of the pace: its duration, the requests that were served and passed on
// in it, and the processor time used.
type sample struct {
	span             time.Duration
	served, passedOn int64
	used             time.Duration
}

// record adds a sample. It sets the limit of a host with the cores; zero means that these are
// not known, and that there is no limit.
func (p *pace) record(now time.Time, s sample, cores float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	weight := math.Exp(-s.span.Seconds() / costTimeConstant.Seconds())
	p.work = p.work*weight + float64(s.served) + passOnCost*float64(s.passedOn)
	p.used = p.used*weight + s.used.Seconds()
	recent := min(s.span.Seconds()/passRateTimeConstant.Seconds(), 1)
	p.serving += recent * (float64(s.served)/s.span.Seconds() - p.serving)
	p.passing += recent * (float64(s.passedOn)/s.span.Seconds() - p.passing)
	if cores <= 0 || p.used <= 0 || p.work < minCostRequests {
		p.limiter, p.capacity = nil, 0
		return
	}
	capacity := refuseUtilization * cores * p.work / p.used
	if p.capacity > 0 && s.used.Seconds() > refuseUtilization*cores*s.span.Seconds() {
		capacity = min(capacity, p.capacity) // the processor time of the newest requests isn't spent yet
	}
	p.capacity = capacity
	p.servable = max(capacity-passOnCost*p.passing, reservedFraction*capacity)
	if p.limiter == nil {
		p.limiter, p.reserved = rate.NewLimiter(0, burstOf(capacity)*requestTokens), rate.NewLimiter(0, 1)
	}
	p.limiter.SetLimitAt(now, rate.Limit(capacity*requestTokens))
	p.limiter.SetBurstAt(now, burstOf(capacity)*requestTokens)
	p.reserved.SetLimitAt(now, rate.Limit(reservedFraction*capacity))
}

// burstOf returns the requests that are accepted at once.
func burstOf(capacity float64) int { return int(math.Ceil(capacity * paceBurstTime.Seconds())) }

// chargePassOn counts a request that is passed on. It takes time from those that are served at
// once, before a measurement shows it.
func (p *pace) chargePassOn(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A debt of a burst is enough to stop what is served.
	if p.limiter != nil && p.limiter.TokensAt(now) > -float64(p.limiter.Burst()) {
		p.limiter.ReserveN(now, passOnTokens)
	}
}

// mostlyPassing reports whether most of the host's processor time goes to requests that are
// passed on.
func (p *pace) mostlyPassing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity > 0 && passOnCost*p.passing > p.serving
}

// hasTimeToPassOn reports whether the host has processor time for what it passes on, whatever
// else it has used its time for.
func (p *pace) hasTimeToPassOn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity > 0 && passOnCost*p.passing < p.capacity/refuseUtilization
}

// take reports whether the host has processor time for another request, and counts it.
func (p *pace) take(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limiter == nil || p.limiter.AllowN(now, requestTokens) {
		return true
	}
	debt := -p.limiter.TokensAt(now) // of requests that were passed on
	return debt > reservedDebt*float64(p.limiter.Burst()) && p.reserved.AllowN(now, 1)
}

// limit returns the requests per second that the host has processor time for, zero if there
// is no limit.
func (p *pace) limit() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limiter == nil {
		return 0
	}
	return p.servable
}
