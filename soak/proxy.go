package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with the bytes that pass.
type mode string

const (
	pass    mode = "pass"
	delayed mode = "delayed"
	// silent holds all bytes back; they go on when the fault ends, as after lost
	// packets.
	silent mode = "silent"
	// mute holds back what the server says.
	mute mode = "mute"
	// deaf holds back what the client says.
	deaf mode = "deaf"
	// refuse resets all connections.
	refuse mode = "refuse"
)

// bytesDelay is how late bytes are on a delayed connection.
const bytesDelay = 60 * time.Millisecond

// proxy forwards connections to one address.
type proxy struct {
	listener net.Listener
	upstream string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	p := &proxy{listener: l, upstream: upstream, mode: pass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == refuse {
		p.resetAll()
	}
}

// reset ends the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) resetAll() {
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(refuse)
}

func (p *proxy) keep(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// hold returns when bytes may pass in the direction, false if the connection is
// to end.
func (p *proxy) hold(fromServer bool) bool {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case m == refuse:
			return false
		case m == delayed:
			time.Sleep(bytesDelay)
			return true
		case m == silent, m == mute && fromServer, m == deaf && !fromServer:
			<-changed
		default:
			return true
		}
	}
}

func (p *proxy) serve(client net.Conn) {
	p.keep(client, true)
	defer p.keep(client, false)
	defer func() { _ = client.Close() }()
	if !p.hold(false) {
		abort(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.upstream, time.Second)
	if err != nil {
		abort(client) // the closest to a refused connection
		return
	}
	defer func() { _ = server.Close() }()
	p.keep(server, true)
	defer p.keep(server, false)
	done := make(chan struct{}, 2)
	go p.copy(server, client, false, done)
	go p.copy(client, server, true, done)
	<-done
	<-done
}

// copy passes bytes on in one direction. The end of one direction ends only that,
// an error the whole connection.
func (p *proxy) copy(to, from net.Conn, fromServer bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.hold(fromServer) {
			abort(to)
			abort(from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if t, ok := to.(*net.TCPConn); ok && !fromServer {
					_ = t.CloseWrite()
					return
				}
				_ = to.Close()
				return
			}
			abort(to)
			return
		}
	}
}
