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
	// A caller may name a version that doesn't exist; after a failed fetch the
	// platform is asked again only after this pause.
	refreshPause = time.Second
)

type refresh struct {
	group  singleflight.Group
	mu     sync.Mutex
	failed time.Time
}

// catchUp fetches the configuration that the caller has seen, if it is newer.
// If it can't be had the request is served under the version in force, which
// the response names: refusing would let a caller's header stop the service
// during an outage of the platform.
func (h *Handler) catchUp(r *http.Request) {
	header := r.Header.Get(VersionHeader)
	if header == "" || h.Refresh == nil {
		return
	}
	version, err := strconv.ParseUint(header, 10, 64)
	if err != nil || version <= h.Configuration.Version() {
		return
	}
	h.refresh.mu.Lock()
	paused := time.Since(h.refresh.failed) < refreshPause
	h.refresh.mu.Unlock()
	if paused {
		return
	}
	_, _, _ = h.refresh.group.Do(header, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), refreshTimeout)
		defer cancel()
		if err := h.Refresh(ctx, version); err != nil || h.Configuration.Version() < version {
			h.refresh.mu.Lock()
			h.refresh.failed = time.Now()
			h.refresh.mu.Unlock()
			h.Logger.Warn().Err(err).Uint64("version", version).Msg("configuration not fetched")
		}
		return nil, nil
	})
}
