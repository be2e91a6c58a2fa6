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

// stopTime bounds the wait for running calls when a server ends.
const stopTime = time.Second

// Server runs the methods of registered receivers for other daemons. The
// exported fields are set before Listen or Run.
type Server struct {
	Address string
	// TLS is nil for plain links.
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
}

// Register makes the receiver's methods callable as "name.Method". It is called
// before Run.
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

// Listen opens the listener, so that Addr is known before Run.
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

// Run serves until the context ends. Calls that run at that time are completed
// and answered, for at most one second.
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
			// Out of file descriptors, usually: others end in the meantime.
			s.Logger.Warn().Err(err).Msg("accept link")
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
	s.rpc.ServeConn(c)
}

func (s *Server) track(c net.Conn, live bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if live {
		s.conns[c] = true
	} else {
		delete(s.conns, c)
	}
}

// stop ends the reading side of all connections: net/rpc then waits for the
// running calls, sends their replies and closes.
func (s *Server) stop() {
	_ = s.listener.Close()
	done := make(chan struct{})
	go func() { s.serving.Wait(); close(done) }()
	// Repeated because a connection may have been accepted but not yet tracked.
	each := func(f func(net.Conn)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			f(c)
		}
	}
	limit := time.After(stopTime)
	for {
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

func metricsSet(s *metrics.Set) *metrics.Set {
	if s == nil {
		return metrics.GetDefaultSet()
	}
	return s
}
