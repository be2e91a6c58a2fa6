package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy forwards bytes. The values appear in the names of faults.
type mode string

const (
	modePass  mode = "pass"
	modeDelay mode = "delayed"
	// modeBlock holds back all bytes until the fault ends, as if packets were lost and
	// retransmitted.
	modeBlock mode = "silent"
	// modeBlockServer holds back the bytes that the server sends.
	modeBlockServer mode = "mute"
	// modeBlockClient holds back the bytes that the client sends.
	modeBlockClient mode = "deaf"
	// modeReset resets all connections.
	modeReset mode = "refuse"
)

// forwardDelay is added to each new connection and to each read in modeDelay.
const forwardDelay = 60 * time.Millisecond

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
	p := &proxy{listener: l, upstream: upstream, mode: modePass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
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
	if m == modeReset {
		p.resetAll()
	}
}

// reset resets the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// resetAll resets the open connections. The caller must hold p.mu.
func (p *proxy) resetAll() {
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(modeReset)
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// awaitForward waits until bytes may be forwarded in the direction. It returns false
// if the connection must be reset.
func (p *proxy) awaitForward(fromServer bool) bool {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case m == modeReset:
			return false
		case m == modeDelay:
			time.Sleep(forwardDelay)
			return true
		case m == modeBlock, m == modeBlockServer && fromServer, m == modeBlockClient && !fromServer:
			<-changed
		default:
			return true
		}
	}
}

func (p *proxy) serve(client net.Conn) {
	p.track(client, true)
	defer p.track(client, false)
	defer func() { _ = client.Close() }()
	if !p.awaitForward(false) {
		abort(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.upstream, time.Second)
	if err != nil {
		abort(client) // a connection that is already accepted can't be refused
		return
	}
	defer func() { _ = server.Close() }()
	p.track(server, true)
	defer p.track(server, false)
	done := make(chan struct{}, 2)
	go p.copy(server, client, false, done)
	go p.copy(client, server, true, done)
	<-done
	<-done
}

// copy forwards bytes in one direction. The end of the client's stream closes only
// this direction; the end of the server's and errors close the whole connection.
func (p *proxy) copy(to, from net.Conn, fromServer bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.awaitForward(fromServer) {
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
