// Package link carries calls between daemons: net/rpc with gob over TCP, with
// mutual TLS, reconnection, byte counts and injected faults.
package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// stopTimeout bounds the wait for running calls when a server stops.
const stopTimeout = time.Second

// maxLoggedPanics is the number of panics of methods that are logged in a second.
const maxLoggedPanics = 10

// Server runs the methods of registered receivers for other daemons. The exported
// fields must be set before Listen or Run is called.
type Server struct {
	// Address is the host and port to listen on. Port zero selects a free port.
	Address string
	// TLS is the configuration of mutual TLS; nil means unencrypted links.
	TLS    *tls.Config
	Logger zerolog.Logger
	// Metrics receives the byte counts; nil means the default set.
	Metrics *metrics.Set

	mu             sync.Mutex
	rpc            *rpc.Server
	listener       net.Listener
	conns          map[net.Conn]bool
	serving        sync.WaitGroup
	sent, received []*metrics.Counter
	panics         zerolog.Logger // of methods that panicked
}

// Register makes the receiver's methods callable as "name.Method". It must be
// called before Run.
func (s *Server) Register(name string, receiver any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rpc == nil {
		s.rpc = rpc.NewServer()
	}
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// Listen opens the listener, so that Addr is known before Run. It does nothing if
// the listener is open.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.Address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("link address %s is in use by another process: %w", s.Address, syscall.EADDRINUSE)
	}
	if err != nil {
		return fmt.Errorf("listen on link address %s: %w", s.Address, err)
	}
	s.listener = l
	return nil
}

// Addr returns the address that the server listens on, empty before Listen.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Run serves until ctx ends. It then waits for at most one second until the running
// calls are completed and answered.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	s.mu.Lock()
	if s.rpc == nil {
		s.rpc = rpc.NewServer()
	}
	s.conns = map[net.Conn]bool{}
	set := metricsSet(s.Metrics)
	s.sent = []*metrics.Counter{set.GetOrCreateCounter("rattanline_link_server_sent_bytes_total")}
	s.received = []*metrics.Counter{set.GetOrCreateCounter("rattanline_link_server_received_bytes_total")}
	l := s.listener
	s.panics = s.Logger.Sample(&zerolog.BurstSampler{Burst: maxLoggedPanics, Period: time.Second})
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.stop()
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = c.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept links: %w", err)
		case err != nil:
			// The usual cause is a lack of file descriptors; wait until other
			// connections are closed.
			s.Logger.Warn().Err(err).Msg("accepting a link connection failed")
			time.Sleep(10 * time.Millisecond)
		default:
			s.serving.Add(1)
			go s.serve(c)
		}
	}
}

func (s *Server) serve(raw net.Conn) {
	defer s.serving.Done()
	var c net.Conn = &countingConn{Conn: raw, sent: s.sent, received: s.received}
	defer func() { _ = c.Close() }()
	s.track(raw, true)
	defer s.track(raw, false)
	if s.TLS != nil {
		t := tls.Server(c, s.TLS)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := t.HandshakeContext(ctx)
		cancel()
		if err != nil {
			s.Logger.Warn().Err(err).Str("peer", raw.RemoteAddr().String()).Msg("link handshake failed")
			return
		}
		c = t
	}
	stream, err := acceptCompression(c)
	if err != nil {
		s.Logger.Debug().Err(err).Str("peer", raw.RemoteAddr().String()).Msg("link ended before its first call")
		return
	}
	serveCalls(s.rpc, stream, &s.panics)
}

// track adds the connection to those that stop closes, or removes it.
func (s *Server) track(c net.Conn, live bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if live {
		s.conns[c] = true
	} else {
		delete(s.conns, c)
	}
}

// stop makes all reads on the connections fail. net/rpc then waits for the running
// calls, sends their replies and closes the connection.
func (s *Server) stop() {
	_ = s.listener.Close()
	done := make(chan struct{})
	go func() { s.serving.Wait(); close(done) }()
	each := func(f func(net.Conn)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			f(c)
		}
	}
	limit := time.After(stopTimeout)
	for {
		// Repeated, because a connection may have been accepted but not be tracked yet.
		each(func(c net.Conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) })
		select {
		case <-done:
			return
		case <-limit:
			each(func(c net.Conn) { _ = c.Close() })
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// metricsSet returns s, or the default set if s is nil.
func metricsSet(s *metrics.Set) *metrics.Set {
	if s == nil {
		return metrics.GetDefaultSet()
	}
	return s
}
