package frontend

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

const (
	refreshTimeout = time.Second
	// refreshRetryDelay is the pause after a failed fetch, because a caller may name
	// a version that doesn't exist.
	refreshRetryDelay = time.Second
)

// refresh limits the fetches of newer configurations.
type refresh struct {
	group    singleflight.Group
	mu       sync.Mutex
	failedAt time.Time
}

// refreshConfiguration fetches the configuration version that the caller has seen, if
// it is newer. If the fetch fails, the request is served under the version in force,
// which the response names; a refusal would let a caller's header interrupt the
// service during an outage of the platform.
func (h *Handler) refreshConfiguration(r *http.Request) {
	header := r.Header.Get(VersionHeader)
	if header == "" || h.Refresh == nil {
		return
	}
	version, err := strconv.ParseUint(header, 10, 64)
	if err != nil || version <= h.Configuration.Version() {
		return
	}
	h.refresh.mu.Lock()
	paused := time.Since(h.refresh.failedAt) < refreshRetryDelay
	h.refresh.mu.Unlock()
	if paused {
		return
	}
	_, _, _ = h.refresh.group.Do(header, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), refreshTimeout)
		defer cancel()
		if err := h.Refresh(ctx, version); err != nil || h.Configuration.Version() < version {
			h.refresh.mu.Lock()
			h.refresh.failedAt = time.Now()
			h.refresh.mu.Unlock()
			h.Logger.Warn().Err(err).Uint64("version", version).Msg("configuration version named by the caller is not available")
		}
		return nil, nil
	})
}
