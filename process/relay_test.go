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

// relays forward the links between daemons and their connections to the platform,
// and can cut them. A cut holds bytes back instead of closing connections, like a
// network that loses packets, so that data sent before the cut arrives after it.
type relays struct {
	fleet *fleet
	mu    sync.Mutex
	// isolated is the failure domain whose links to all others are cut.
	isolated string
	changed  chan struct{} // closed and replaced when a cut begins or ends
}

// relay forwards connections to one upstream listener.
type relay struct {
	*relays
	address, upstream string
	// cut is set while all connections of this relay are cut.
	cut bool
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

// update runs f, which changes what is cut, and wakes all waiting connections.
func (r *relays) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// isolate cuts the links of a failure domain to all others. An empty name ends
// the cut.
func (r *relays) isolate(domain string) { r.update(func() { r.isolated = domain }) }

func (x *relay) setCut(cut bool) { x.update(func() { x.cut = cut }) }

// awaitOpen blocks while traffic between the two failure domains is cut.
func (x *relay) awaitOpen(from, to string) {
	for {
		x.mu.Lock()
		cut := x.cut || (x.isolated != "" && from != to && (from == x.isolated || to == x.isolated))
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
	x.awaitOpen(from, to)
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
			x.awaitOpen(from, to)
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

// callerDomain returns the failure domain of the daemon that opened the
// connection, found by the inode of its socket, or "" if there is none.
func (x *relay) callerDomain(connection net.Conn) string {
	// Several connections can share a source port if their destinations differ.
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

// hexAddress returns an IPv4 address in the notation of /proc/net/tcp.
func hexAddress(a net.Addr) string {
	t := a.(*net.TCPAddr)
	ip := t.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}
