package edge

import (
	"context"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/gateway"
)

const (
	// maxActivePerMB is the maximum number of requests in progress per MiB of
	// HostSettings.MemoryMB.
	maxActivePerMB = 6
	// closeConnsPerMB is the number of callers' connections per MiB of
	// HostSettings.MemoryMB above which connections are closed after their response.
	closeConnsPerMB = 8
	// maxPassedOnPerMB is the maximum number of connections that are passed on at a time,
	// per MiB of HostSettings.MemoryMB.
	maxPassedOnPerMB = 5
	// maxConnsPerMB is the maximum number of callers' connections per MiB of
	// HostSettings.MemoryMB; requests on further ones are refused.
	maxConnsPerMB = 14
)

// watchOverload announces to the other daemons when this host becomes overloaded or
// recovers.
func (d *Daemon) watchOverload(ctx context.Context) error {
	return d.overload.run(ctx, func(overloaded bool, l hostLoad) {
		d.Logger.Warn().Bool("overloaded", overloaded).Dur("lag", l.lag).Float64("processor-use", l.utilization).Int64("active", d.handler.Active()).Msg("overload changed")
		d.exchange.Announce()
	})
}

// refusedFraction returns the fraction of the new requests that is refused, because they
// would miss their deadline or there is not enough memory for them.
func (d *Daemon) refusedFraction() float64 {
	if d.handler.Active() > int64(d.Settings.MemoryMB*maxActivePerMB) {
		return 1
	}
	return d.overload.load().refusedFraction
}

// refusedConnFraction returns the fraction of the requests on new connections that is
// refused: all of them if no further connection can be kept open.
func (d *Daemon) refusedConnFraction() float64 {
	if !d.hasConnCapacity() {
		return 1
	}
	return d.refusedFraction()
}

// shedding reports whether the requests on new connections need a verdict.
func (d *Daemon) shedding() bool {
	return d.refusedConnFraction() > 0 || !d.overload.pace.take(time.Now())
}

// passingIsLoad reports whether the load of the host is due to requests that are passed on, so
// that the pace alone limits those that are served: a daemon that refuses to serve because it
// passes on would pass on all.
func (d *Daemon) passingIsLoad() bool {
	return d.hasConnCapacity() && d.overload.load().lag < refuseLag && d.overload.pace.mostlyPassing()
}

// verdict decides about a request of the account on a new connection: what this daemon
// can't serve, or not in time, is passed on to a peer. If none can be used, it is refused
// or served late.
func (d *Daemon) verdict(account string) gateway.Verdict {
	refused := d.shedder.Refuse(clock.Now(), account, d.refusedConnFraction()) && !d.passingIsLoad()
	if !refused && d.overload.pace.take(time.Now()) {
		return gateway.Serve{}
	}
	// What is passed on at the end of a stop might not be answered before the process exits.
	if peer, ok := d.overflow.peer(); ok && !d.handler.Stopping.Load() && d.overload.canPassOn() {
		d.overload.pace.chargePassOn(time.Now())
		return gateway.PassOn{Peer: peer}
	}
	if refused {
		return gateway.Refuse{}
	}
	return gateway.Serve{}
}

// requestOverloaded reports whether the request of the account with the context is
// refused. One that was admitted when its connection was accepted is not decided again.
func (d *Daemon) requestOverloaded(ctx context.Context, account string) bool {
	return !takeAdmission(ctx) && d.shedder.Refuse(clock.Now(), account, d.refusedFraction())
}

// hasConnCapacity reports whether another connection of a caller can be accepted.
func (d *Daemon) hasConnCapacity() bool {
	return d.conns.open.Load() < int64(max(d.Settings.MemoryMB, 1)*maxConnsPerMB)
}

// tooManyConns reports whether callers have more connections than can be kept open.
func (d *Daemon) tooManyConns() bool {
	return d.conns.open.Load() > int64(d.Settings.MemoryMB*closeConnsPerMB)
}
