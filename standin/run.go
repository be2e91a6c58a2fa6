// Package standin holds small stand-ins of the systems around the fleet: the
// key-value service, the host list, model engines and plain services. They speak
// the published protocols, inject faults, and serve tests and demonstrations.
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

// Testing is the part of testing.TB that Start needs.
type Testing interface {
	Helper()
	Cleanup(func())
	Fatalf(format string, args ...any)
}

// Start serves the handler on a free loopback port until stop is called or the
// test ends. Stopping closes all connections, like the end of a process.
func Start(t Testing, handler http.Handler) (url string, stop func()) {
	t.Helper()
	return StartAt(t, "127.0.0.1:0", handler)
}

// StartAt is Start on a given address, for a server that returns after it was
// stopped.
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

// Run serves the handler until the context ends, and then lets running requests
// end for a second.
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

// openedBefore tells that the request came over a connection from before the
// time. It is false for handlers that another server runs.
func openedBefore(r *http.Request, t time.Time) bool {
	opened, ok := r.Context().Value(openedKey{}).(time.Time)
	return ok && opened.Before(t)
}
