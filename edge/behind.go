package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// versionHeader names the version of the configuration that the daemon acts by which passes
	// a request on.
	versionHeader = "Rattanline-Config-Version"
	// versionWait is how long a request waits for the configuration that its sender acts by.
	versionWait = 20 * time.Millisecond
	// versionPollInterval is the interval between two checks for it.
	versionPollInterval = 2 * time.Millisecond
)

// behindMark answers a request that was passed on by a daemon with a newer configuration. No HTTP
// response begins like it.
var behindMark = []byte("BEHIND\r\n")

// serveIfCurrent wraps the handler of requests that peers pass on. A request that was sent to a
// daemon must not be handled by an older configuration than that daemon's.
func (d *Daemon) serveIfCurrent(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stated := r.Header.Get(versionHeader)
		r.Header.Del(versionHeader)
		version, err := strconv.ParseUint(stated, 10, 64)
		if err != nil || d.awaitVersion(r.Context(), version) {
			next.ServeHTTP(w, r) // without a version, the sender has no configuration
			return
		}
		behindRefusals.Inc()
		// What is left unread would reset the connection before the mark is read.
		_, _ = io.CopyN(io.Discard, r.Body, maxPeekBytes)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler) // the sender can't tell whether the request ran
		}
		_, _ = conn.Write(behindMark) // it only fails if the sender has left
		_ = conn.Close()
	})
}

// awaitVersion waits up to versionWait until the configuration has the version, and reports
// whether it has.
func (d *Daemon) awaitVersion(ctx context.Context, version uint64) bool {
	for deadline := time.Now().Add(versionWait); ; {
		if x := d.view().Index; x != nil && x.Version() >= version {
			return true
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(versionPollInterval)
	}
}
