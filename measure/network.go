// Package measure runs a fleet of dispatchers in one process over a link with
// delay and loss, and measures how fairly it shares simulated targets.
package measure

import (
	"context"
	"encoding/gob"
	"maps"
	"math/rand/v2"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
)

// ErrUnreachable is returned for calls to daemons that are gone or cut off.
var ErrUnreachable = errors.New("daemon unreachable")

// Handler serves one method. The reply is a pointer.
type Handler func(args, reply any) error

// Network connects the daemons of one process with a one-way delay between
// failure domains. Lost packets delay a message by a retransmission.
type Network struct {
	Delay          time.Duration // one way between failure domains
	Loss           float64       // part of the messages that are retransmitted
	Retransmission time.Duration
	// Partitioned tells whether a message between two daemons is lost; may be nil.
	Partitioned func(from, to string) bool

	mu      sync.Mutex
	nodes   map[string]*Endpoint
	wires   map[[2]string]*wire
	traffic map[string]Traffic
	rand    *rand.Rand
}

// NewNetwork returns a network whose losses follow from the seed.
func NewNetwork(seed uint64, delay time.Duration, loss float64) *Network {
	return &Network{
		Delay: delay, Loss: loss, Retransmission: 200 * time.Millisecond,
		nodes: map[string]*Endpoint{}, wires: map[[2]string]*wire{},
		traffic: map[string]Traffic{},
		rand:    rand.New(rand.NewPCG(seed, 1)),
	}
}

// wire encodes the messages of one direction between two daemons as net/rpc
// does, with one encoder for the whole connection, and counts the bytes.
type wire struct {
	encoder *gob.Encoder
	bytes   int64
}

// Write implements io.Writer.
func (w *wire) Write(p []byte) (int, error) {
	w.bytes += int64(len(p))
	return len(p), nil
}

// Endpoint is the connection of one daemon. It implements port.Link.
type Endpoint struct {
	network  *Network
	Name     string
	Domain   string
	handlers map[string]Handler
	gone     bool
}

var _ port.Link = (*Endpoint)(nil)

// Join adds a daemon. Its link address is its name.
func (n *Network) Join(name, domain string) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &Endpoint{network: n, Name: name, Domain: domain, handlers: map[string]Handler{}}
	n.nodes[name] = e
	return e
}

// Leave makes a daemon unreachable.
func (n *Network) Leave(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.nodes[name]; e != nil {
		e.gone = true
		delete(n.nodes, name)
	}
}

// Traffic is what a daemon sent to other failure domains, in bytes.
type Traffic struct {
	Slots    int64 // renewals, grants and their replies
	Exchange int64 // reports between coordinators
}

// Traffic returns what each daemon sent to other failure domains so far.
func (n *Network) Traffic() map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.traffic)
}

func (n *Network) count(from, method string, bytes int64) {
	t := n.traffic[from]
	if strings.HasPrefix(method, "Coordinator.") {
		t.Exchange += bytes
	} else {
		t.Slots += bytes
	}
	n.traffic[from] = t
}

// Handle registers a method; call it before the daemon runs.
func (e *Endpoint) Handle(method string, h Handler) { e.handlers[method] = h }

// Call implements port.Link.
func (e *Endpoint) Call(ctx context.Context, address, method string, args, reply any) error {
	peer, err := e.network.transmit(ctx, e, address, method, &rpc.Request{ServiceMethod: method}, args)
	if err != nil {
		return err
	}
	handle := peer.handlers[method]
	if handle == nil {
		return errors.New("no method " + method)
	}
	failure := handle(args, reply)
	response := &rpc.Response{ServiceMethod: method}
	if failure != nil {
		response.Error = failure.Error()
	}
	if _, err := e.network.transmit(ctx, peer, e.Name, method, response, reply); err != nil {
		return err
	}
	return failure
}

// transmit takes the time of one message and counts its bytes.
func (n *Network) transmit(ctx context.Context, from *Endpoint, to, method string, header, body any) (*Endpoint, error) {
	peer, delay, err := n.route(from, to, method, header, body)
	if err != nil {
		return nil, err
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if peer.gone || from.gone || n.cut(from.Name, to) {
		return nil, ErrUnreachable
	}
	return peer, nil
}

func (n *Network) cut(from, to string) bool { return n.Partitioned != nil && n.Partitioned(from, to) }

func (n *Network) route(from *Endpoint, to, method string, header, body any) (*Endpoint, time.Duration, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer := n.nodes[to]
	if peer == nil || from.gone || n.cut(from.Name, to) {
		return nil, 0, ErrUnreachable
	}
	if peer.Domain == from.Domain {
		return peer, 0, nil
	}
	w := n.wires[[2]string{from.Name, to}]
	if w == nil {
		w = &wire{}
		w.encoder = gob.NewEncoder(w)
		n.wires[[2]string{from.Name, to}] = w
	}
	before := w.bytes
	for _, v := range []any{header, body} {
		if err := w.encoder.Encode(v); err != nil {
			return nil, 0, err
		}
	}
	n.count(from.Name, method, w.bytes-before)
	delay := n.Delay
	if n.rand.Float64() < n.Loss {
		delay += n.Retransmission
	}
	return peer, delay, nil
}
