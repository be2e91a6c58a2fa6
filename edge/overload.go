package edge

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// lagInterval is the pause between two measurements of the lag, lagWeight the
	// weight of the newest one in the mean.
	lagInterval = 20 * time.Millisecond
	lagWeight   = 0.15
	// leaveLag is the lag above which a daemon leaves the directory, returnLag the
	// one below which it comes back.
	leaveLag  = 40 * time.Millisecond
	returnLag = 8 * time.Millisecond
	// refuseLag is the lag above which new requests are refused at once.
	refuseLag = 120 * time.Millisecond
)

// overload tells by the lateness of timers whether the machine's processor
// keeps up. A daemon that doesn't sends callers to others: clients of one
// account may all use the same daemon.
type overload struct {
	lag     atomic.Int64
	leaving atomic.Bool
}

// run measures the lag until the context ends, and calls changed when the
// daemon leaves the directory or comes back.
func (o *overload) run(ctx context.Context, changed func(overloaded bool, lag time.Duration)) error {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(lagInterval)
		late := time.Since(began) - lagInterval
		mean := time.Duration((1-lagWeight)*float64(o.lag.Load()) + lagWeight*float64(late))
		o.lag.Store(int64(mean))
		if was := o.leaving.Load(); !was && mean > leaveLag || was && mean < returnLag {
			o.leaving.Store(!was)
			changed(!was, mean)
		}
	}
	return nil
}

// refusing tells that new requests would only make others late.
func (o *overload) refusing() bool { return time.Duration(o.lag.Load()) > refuseLag }
