package relay

import (
	"context"
	"time"
)

// quietPollInterval is the interval between two checks for requests.
const quietPollInterval = 50 * time.Millisecond

// AwaitQuiet waits until no request has been running and none has arrived for the time.
// running returns the number of requests in progress, which include those of this
// Forwarder. It returns false if the context ends before, while requests are running.
//
// A stopping daemon closes callers' connections after that. http.Server.Shutdown isn't
// used for them, because it drops requests that it reads after it was called.
func (f *Forwarder) AwaitQuiet(ctx context.Context, quiet time.Duration, running func() int64) bool {
	arrived, since := f.arrived.Load(), time.Now()
	for time.Since(since) < quiet {
		select {
		case <-ctx.Done():
			return running() == 0
		case <-time.After(quietPollInterval):
		}
		if n := f.arrived.Load(); n != arrived || running() > 0 {
			arrived, since = n, time.Now()
		}
	}
	return true
}
