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

// ErrUnreachable is returned for calls to daemons that have ended or are partitioned
// from the caller.
var ErrUnreachable = errors.New("daemon unreachable")

// Handler serves one RPC method. The reply is a pointer that the handler fills.
type Handler func(args, reply any) error

// Network connects the daemons of a simulated fleet. Messages between failure
// domains are delayed, and lost ones are delayed further by a retransmission.
type Network struct {
	Delay          time.Duration // one way between failure domains
	Loss           float64       // fraction of the messages that are retransmitted
	Retransmission time.Duration
	// Partitioned reports whether messages from one daemon to another fail. It may
	// be nil.
	Partitioned func(from, to string) bool

	mu          sync.Mutex
	endpoints   map[string]*Endpoint // by daemon
	connections map[[2]string]*countingEncoder
	traffic     map[string]Traffic
	rand        *rand.Rand
}

// NewNetwork returns a network with a one-way delay between failure domains. The seed
// determines which messages are retransmitted; loss is their fraction.
func NewNetwork(seed uint64, delay time.Duration, loss float64) *Network {
	return &Network{
		Delay: delay, Loss: loss, Retransmission: 200 * time.Millisecond,
		endpoints: map[string]*Endpoint{}, connections: map[[2]string]*countingEncoder{},
		traffic: map[string]Traffic{},
		rand:    rand.New(rand.NewPCG(seed, 1)),
	}
}

// countingEncoder encodes the messages from one daemon to another as net/rpc does, with
// one encoder for the whole connection, and counts the bytes.
type countingEncoder struct {
	encoder *gob.Encoder
	bytes   int64
}

// Write implements io.Writer.
func (c *countingEncoder) Write(p []byte) (int, error) {
	c.bytes += int64(len(p))
	return len(p), nil
}

// Endpoint connects one daemon to the network. It implements port.Link.
type Endpoint struct {
	network  *Network
	Name     string
	Domain   string
	handlers map[string]Handler
	gone     bool
}

var _ port.Link = (*Endpoint)(nil)

// Join adds a daemon to the network. Its link address is its name.
func (n *Network) Join(name, domain string) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &Endpoint{network: n, Name: name, Domain: domain, handlers: map[string]Handler{}}
	n.endpoints[name] = e
	return e
}

// Leave makes a daemon unreachable.
func (n *Network) Leave(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.endpoints[name]; e != nil {
		e.gone = true
		delete(n.endpoints, name)
	}
}

// Traffic is what a daemon sent to other failure domains, in bytes.
type Traffic struct {
	Slots    int64 // renewals, grants and their replies
	Exchange int64 // reports between coordinators
}

// Traffic returns what each daemon has sent to other failure domains, by name.
func (n *Network) Traffic() map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.traffic)
}

func (n *Network) countBytes(from, method string, bytes int64) {
	t := n.traffic[from]
	if strings.HasPrefix(method, "Coordinator.") {
		t.Exchange += bytes
	} else {
		t.Slots += bytes
	}
	n.traffic[from] = t
}

// Handle registers the handler of a method. It must be called before the daemon runs.
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

// transmit counts the bytes of one message and returns the receiver after the delay.
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
	if peer.gone || from.gone || n.partitioned(from.Name, to) {
		return nil, ErrUnreachable
	}
	return peer, nil
}

func (n *Network) partitioned(from, to string) bool {
	return n.Partitioned != nil && n.Partitioned(from, to)
}

// route returns the receiver and delay of a message and counts its bytes if it goes
// to another failure domain.
func (n *Network) route(from *Endpoint, to, method string, header, body any) (*Endpoint, time.Duration, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer := n.endpoints[to]
	if peer == nil || from.gone || n.partitioned(from.Name, to) {
		return nil, 0, ErrUnreachable
	}
	if peer.Domain == from.Domain {
		return peer, 0, nil
	}
	c := n.connections[[2]string{from.Name, to}]
	if c == nil {
		c = &countingEncoder{}
		c.encoder = gob.NewEncoder(c)
		n.connections[[2]string{from.Name, to}] = c
	}
	before := c.bytes
	for _, v := range []any{header, body} {
		if err := c.encoder.Encode(v); err != nil {
			return nil, 0, err
		}
	}
	n.countBytes(from.Name, method, c.bytes-before)
	delay := n.Delay
	if n.rand.Float64() < n.Loss {
		delay += n.Retransmission
	}
	return peer, delay, nil
}
