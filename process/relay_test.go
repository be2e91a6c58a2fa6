package process

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"

	qt "github.com/frankban/quicktest"
)

// relays forward links between daemons. A cut holds the bytes back instead of
// closing the connection, as a network does that loses packets, so that what
// was sent before the cut arrives late after it.
type relays struct {
	fleet *fleet
	mu    sync.Mutex
	// isolated is the failure domain whose links to all others are cut.
	isolated string
	changed  chan struct{}
}

// relay forwards connections to one listener.
type relay struct {
	*relays
	address, upstream string
	// down cuts all connections of this relay.
	down bool
}

func (r *relays) start(address, upstream string) *relay {
	l, err := net.Listen("tcp", address)
	r.fleet.c.Assert(err, qt.IsNil)
	r.fleet.c.Cleanup(func() { _ = l.Close() })
	r.mu.Lock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	r.mu.Unlock()
	x := &relay{relays: r, address: l.Addr().String(), upstream: upstream}
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(connection)
		}
	}()
	return x
}

// change changes the cuts.
func (r *relays) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// isolate cuts the links of a failure domain to all others, and heals them if
// the name is empty.
func (r *relays) isolate(domain string) { r.change(func() { r.isolated = domain }) }

func (x *relay) setDown(down bool) { x.change(func() { x.down = down }) }

// wait returns when bytes between the two failure domains may pass.
func (x *relay) wait(from, to string) {
	for {
		x.mu.Lock()
		cut := x.down || (x.isolated != "" && from != to && (from == x.isolated || to == x.isolated))
		changed := x.changed
		x.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

func (x *relay) serve(caller net.Conn) {
	defer caller.Close()
	from, to := "", ""
	for _, d := range x.fleet.daemons {
		if d.link == x.upstream {
			from, to = x.callerDomain(caller), d.domain
		}
	}
	x.wait(from, to)
	server, err := net.Dial("tcp", x.upstream)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	forward := func(destination, source net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := source.Read(buffer)
			x.wait(from, to)
			if n > 0 {
				if _, err := destination.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go forward(server, caller)
	go forward(caller, server)
	<-done
}

// callerDomain finds the failure domain of the process that opened the
// connection, by the inode of its socket.
func (x *relay) callerDomain(connection net.Conn) string {
	// A source port is only unique together with the destination.
	local, remote := hexAddress(connection.RemoteAddr()), hexAddress(connection.LocalAddr())
	table, _ := os.ReadFile("/proc/net/tcp")
	inode := ""
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == local && f[2] == remote {
			inode = f[9]
		}
	}
	for _, d := range x.fleet.daemons {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", d.pid()))
		for _, file := range files {
			if target, _ := os.Readlink(file); inode != "" && target == "socket:["+inode+"]" {
				return d.domain
			}
		}
	}
	return ""
}

// hexAddress returns an address in the notation of /proc/net/tcp.
func hexAddress(a net.Addr) string {
	t := a.(*net.TCPAddr)
	ip := t.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}
