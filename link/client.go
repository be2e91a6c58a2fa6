package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
)

var _ port.Link = (*Client)(nil)

// ErrDisconnected is returned when no connection to the peer could be made: the
// call was not sent.
var ErrDisconnected = errors.New("peer not connected")

// peerMemory is how long the failures of an address are remembered.
const peerMemory = time.Minute

// Names of the byte counters of a peer, with its address as label.
const (
	sentBytes     = "rattanline_link_sent_bytes_total{peer=%q}"
	receivedBytes = "rattanline_link_received_bytes_total{peer=%q}"
)

// errForgotten tells that a peer was forgotten between its lookup and its use.
var errForgotten = errors.New("peer forgotten")

// Client calls methods of other daemons over one connection per address. The
// exported fields are set before the first call.
type Client struct {
	// TLS is nil for plain links.
	TLS   *tls.Config
	Fault Fault
	// Timeout bounds calls whose context has no deadline, and dialing; zero
	// means one second.
	Timeout time.Duration
	// MaxIdleConns bounds the connections without a running call; zero means 128,
	// more than a daemon's coordinator, owners and holders in the largest fleet.
	MaxIdleConns int
	// Metrics receives the counters; nil means the default set.
	Metrics *metrics.Set

	once   sync.Once
	delays *delays
	mu     sync.Mutex
	peers  map[string]*peer
	// sent and received count all peers, also those forgotten since.
	sent, received *metrics.Counter
}

func (c *Client) init() {
	if c.Timeout == 0 {
		c.Timeout = time.Second
	}
	if c.MaxIdleConns == 0 {
		c.MaxIdleConns = 128
	}
	c.Metrics = metricsSet(c.Metrics)
	c.sent = c.Metrics.GetOrCreateCounter("rattanline_link_client_sent_bytes_total")
	c.received = c.Metrics.GetOrCreateCounter("rattanline_link_client_received_bytes_total")
	c.delays = newDelays(c.Fault)
	c.peers = map[string]*peer{}
}

// Call runs a method at the address. The caller must not change what args
// refers to afterwards, because a call that timed out may still be encoded.
// Errors of the method itself are rpc.ServerError values.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	c.once.Do(c.init)
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	c.counter("rattanline_link_calls_total", method).Inc()
	err := c.call(ctx, address, method, args, reply)
	if err == nil {
		return nil
	}
	c.counter("rattanline_link_failures_total", method).Inc()
	return fmt.Errorf("call %s at %s: %w", method, address, err)
}

func (c *Client) counter(name, method string) *metrics.Counter {
	return c.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{method=%q}", name, method))
}

func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	if c.delays.fault.cut(address) {
		return ErrCut
	}
	for attempt := 0; ; attempt++ {
		p := c.peer(address)
		conn, err := c.connect(ctx, p, address)
		if errors.Is(err, errForgotten) {
			attempt--
			continue
		}
		if err != nil {
			return err
		}
		err = c.send(ctx, p, conn, method, args, reply)
		// net/rpc returns ErrShutdown for calls that it did not send because the
		// connection had broken before; those that this client closed itself may
		// have been sent.
		if attempt == 0 && errors.Is(err, rpc.ErrShutdown) && !conn.closed.Load() {
			p.replace(conn, err)
			continue
		}
		if err != nil && !errors.As(err, new(rpc.ServerError)) && ctx.Err() == nil {
			p.replace(conn, err)
		}
		return err
	}
}

func (c *Client) send(ctx context.Context, p *peer, conn *connection, method string, args, reply any) error {
	defer conn.pending.Add(-1)
	conn.used.Store(time.Now().UnixNano())
	before := conn.wire.total.Load()
	// A late response must not write to the caller's reply.
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	// Sending blocks while the peer doesn't read.
	go conn.client.Go(method, args, fresh.Interface(), done)
	select {
	case call := <-done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(fresh.Elem())
		}
		if call.Error == nil || errors.As(call.Error, new(rpc.ServerError)) {
			p.succeeded(conn)
		}
		return call.Error
	case <-ctx.Done():
		// A connection that received nothing during a whole call is taken for
		// dead: TCP alone would need minutes to notice.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.wire.total.Load() == before {
			p.replace(conn, ctx.Err())
		}
		return ctx.Err()
	}
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peer{
			backoff:  newBackoff(),
			sent:     c.Metrics.GetOrCreateCounter(fmt.Sprintf(sentBytes, address)),
			received: c.Metrics.GetOrCreateCounter(fmt.Sprintf(receivedBytes, address)),
		}
		c.peers[address] = p
	}
	return p
}

// connect returns the peer's connection with a call pending, dialing if there is
// none. Callers share
// one dial, which continues when the context of the first of them ends.
func (c *Client) connect(ctx context.Context, p *peer, address string) (*connection, error) {
	for {
		p.mu.Lock()
		if p.gone {
			p.mu.Unlock()
			return nil, errForgotten
		}
		if p.conn != nil {
			defer p.mu.Unlock()
			p.conn.pending.Add(1)
			return p.conn, nil
		}
		if p.dialing == nil {
			if time.Now().Before(p.retryAt) {
				defer p.mu.Unlock()
				return nil, fmt.Errorf("%w, next attempt in %v: %v", ErrDisconnected,
					time.Until(p.retryAt).Round(time.Millisecond), p.failed)
			}
			p.dialing = make(chan struct{})
			go c.dial(p, address)
		}
		wait := p.dialing
		p.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrDisconnected, ctx.Err())
		}
	}
}

func (c *Client) dial(p *peer, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	conn, err := c.open(ctx, p, address)
	p.mu.Lock()
	if err != nil {
		p.fail(err)
	} else {
		p.conn = conn
	}
	close(p.dialing)
	p.dialing = nil
	p.mu.Unlock()
	c.trim()
}

func (c *Client) open(ctx context.Context, p *peer, address string) (*connection, error) {
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	wire := &countingConn{
		Conn: raw, writeTimeout: c.Timeout,
		sent:     []*metrics.Counter{p.sent, c.sent},
		received: []*metrics.Counter{p.received, c.received},
	}
	var stream net.Conn = wire
	if c.delays.fault.active() {
		stream = newFaultConn(wire, address, c.delays)
	}
	if c.TLS != nil {
		t := tls.Client(stream, c.TLS)
		if err := t.HandshakeContext(ctx); err != nil {
			_ = stream.Close()
			return nil, fmt.Errorf("handshake: %w", err)
		}
		stream = t
	}
	kept := &reasonConn{Conn: stream}
	conn := &connection{client: rpc.NewClient(kept), wire: wire, stream: kept}
	conn.used.Store(time.Now().UnixNano())
	return conn, nil
}

// trim closes the connections that were unused for the longest time, beyond
// MaxIdle, and forgets their peers and those that failed long ago.
func (c *Client) trim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := map[string]int64{}
	var addresses []string
	for a, p := range c.peers {
		p.mu.Lock()
		conn := p.conn
		stale := conn == nil && p.dialing == nil && time.Since(p.retryAt) > peerMemory
		p.mu.Unlock()
		if stale {
			c.forget(a)
		}
		if conn != nil && conn.pending.Load() == 0 {
			unused[a] = conn.used.Load()
			addresses = append(addresses, a)
		}
	}
	sort.Slice(addresses, func(i, j int) bool { return unused[addresses[i]] < unused[addresses[j]] })
	for _, a := range addresses[:max(0, len(addresses)-c.MaxIdleConns)] {
		c.forget(a)
	}
}

// forget removes a peer and its counters, so that neither grows with the number
// of addresses ever seen.
func (c *Client) forget(address string) {
	p := c.peers[address]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing != nil || p.conn != nil && p.conn.pending.Load() > 0 {
		return // used since it was looked at
	}
	p.gone = true
	if p.conn != nil {
		p.conn.close()
		p.conn = nil
	}
	delete(c.peers, address)
	c.Metrics.UnregisterMetric(fmt.Sprintf(sentBytes, address))
	c.Metrics.UnregisterMetric(fmt.Sprintf(receivedBytes, address))
}

// Close closes all connections. Calls that run fail.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.mu.Lock()
		if p.conn != nil {
			p.conn.close()
			p.conn = nil
		}
		p.mu.Unlock()
	}
}
