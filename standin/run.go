// Package standin implements stand-ins for the systems around the fleet: the
// key-value service, the metadata store, the host list, model engines and plain
// services. They speak the published protocols and inject faults, for tests and
// demonstrations.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Testing is the subset of testing.TB that Start uses.
type Testing interface {
	Helper()
	Cleanup(func())
	Fatalf(format string, args ...any)
}

// Start serves the handler on a free loopback port until stop is called or the
// test ends. Like the end of a process, stop closes all connections at once.
func Start(t Testing, handler http.Handler) (url string, stop func()) {
	t.Helper()
	return StartAt(t, "127.0.0.1:0", handler)
}

// StartAt is like Start on a given address, so that a test can restart a server
// that it stopped.
func StartAt(t Testing, address string, handler http.Handler) (url string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("start stand-in: %v", err)
	}
	s := newServer(handler)
	go func() { _ = s.Serve(l) }()
	stop = func() { _ = s.Close() }
	t.Cleanup(stop)
	return "http://" + l.Addr().String(), stop
}

// Run serves the handler until the context ends, and then gives running requests
// 1 s to finish before it closes their connections.
func Run(ctx context.Context, address string, handler http.Handler, log zerolog.Logger) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	log.Info().Str("address", l.Addr().String()).Msg("listening")
	s := newServer(handler)
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		c, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if s.Shutdown(c) != nil {
			_ = s.Close()
		}
	})
	err = s.Serve(l)
	if stop() {
		return fmt.Errorf("serve: %w", err)
	}
	<-stopped
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, openedKey{}, time.Now())
		},
	}
}

// openedKey is the context key of the time at which a connection was opened.
type openedKey struct{}

// openedBefore reports whether the request's connection was opened before t. It is
// false if the handler is run by a server that doesn't record that time.
func openedBefore(r *http.Request, t time.Time) bool {
	opened, ok := r.Context().Value(openedKey{}).(time.Time)
	return ok && opened.Before(t)
}
