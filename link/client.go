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

// ErrDisconnected is returned when no connection to the peer could be established.
// The call was not sent.
var ErrDisconnected = errors.New("peer not connected")

// failedPeerTTL is how long the state of a peer without a connection is kept after
// its backoff has expired.
const failedPeerTTL = time.Minute

// Formats of the names of a peer's byte counters, with its address as the label.
const (
	sentBytesMetric     = "rattanline_link_sent_bytes_total{peer=%q}"
	receivedBytesMetric = "rattanline_link_received_bytes_total{peer=%q}"
)

// errPeerEvicted is returned by connect if the peer was evicted after its lookup.
var errPeerEvicted = errors.New("peer evicted")

// Client calls methods of other daemons over one connection per address. It is
// safe for concurrent use. The exported fields must be set before the first call.
type Client struct {
	// TLS is the configuration of mutual TLS; nil means unencrypted links.
	TLS *tls.Config
	// Fault is injected into all connections of the client.
	Fault Fault
	// Timeout bounds calls whose context has no deadline, dialing with the TLS
	// handshake, and each write; zero means one second.
	Timeout time.Duration
	// MaxIdleConns bounds the number of connections without a running call. Zero
	// means 128, which exceeds the number of coordinators, owners and holders that
	// a daemon talks to in the largest fleet.
	MaxIdleConns int
	// Compress reports whether the connection to the address is compressed. The server there must
	// accept that. Nil means that none is.
	Compress func(address string) bool
	// Metrics receives the counters; nil means the default set.
	Metrics *metrics.Set

	once   sync.Once
	delays *delayGenerator
	mu     sync.Mutex
	peers  map[string]*peer
	// sent and received count the bytes of all peers, including evicted ones.
	sent, received *metrics.Counter
	// compressedSent and compressedReceived count the bytes on compressed connections.
	compressedSent, compressedReceived *metrics.Counter
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
	c.compressedSent = c.Metrics.GetOrCreateCounter("rattanline_link_compressed_sent_bytes_total")
	c.compressedReceived = c.Metrics.GetOrCreateCounter("rattanline_link_compressed_received_bytes_total")
	c.delays = newDelayGenerator(c.Fault)
	c.peers = map[string]*peer{}
}

// Call runs a method of the daemon at the address. The caller must not modify the
// data that args refers to, even after Call has returned, because a call that
// timed out may still be encoding it. Errors of the method itself are
// rpc.ServerError values.
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
		if errors.Is(err, errPeerEvicted) {
			attempt--
			continue
		}
		if err != nil {
			return err
		}
		err = c.send(ctx, p, conn, method, args, reply)
		// net/rpc returns ErrShutdown for calls that it did not send because the
		// connection was already broken, so these are safe to repeat. If this client
		// closed the connection itself, the call may have been sent.
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
	conn.lastUsed.Store(time.Now().UnixNano())
	before := conn.wire.bytesRead.Load()
	// Decode into a separate value: a response after the deadline must not write to
	// the caller's reply.
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	// In a goroutine, because sending blocks while the peer doesn't read.
	go conn.client.Go(method, args, fresh.Interface(), done)
	select {
	case call := <-done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(fresh.Elem())
		}
		if call.Error == nil || errors.As(call.Error, new(rpc.ServerError)) {
			p.recordSuccess(conn)
		}
		return call.Error
	case <-ctx.Done():
		// A connection that received nothing during a whole call is considered dead:
		// TCP alone would take minutes to detect that.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.wire.bytesRead.Load() == before {
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
			sent:     c.Metrics.GetOrCreateCounter(fmt.Sprintf(sentBytesMetric, address)),
			received: c.Metrics.GetOrCreateCounter(fmt.Sprintf(receivedBytesMetric, address)),
		}
		c.peers[address] = p
	}
	return p
}

// connect returns the peer's connection, after counting the caller's call as
// pending on it. It dials if there is no connection. Concurrent callers share one
// dial, which continues if the context of the caller that started it ends.
func (c *Client) connect(ctx context.Context, p *peer, address string) (*connection, error) {
	for {
		p.mu.Lock()
		if p.evicted {
			p.mu.Unlock()
			return nil, errPeerEvicted
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
					time.Until(p.retryAt).Round(time.Millisecond), p.lastErr)
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
		p.recordFailure(err)
	} else {
		p.conn = conn
	}
	close(p.dialing)
	p.dialing = nil
	p.mu.Unlock()
	c.evictIdle()
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
	if c.Compress != nil && c.Compress(address) {
		compressed, err := compress(stream)
		if err != nil {
			_ = stream.Close()
			return nil, err
		}
		wire.sent = append(wire.sent, c.compressedSent)
		wire.received = append(wire.received, c.compressedReceived)
		stream = compressed
	}
	recording := &errorRecordingConn{Conn: stream}
	conn := &connection{client: rpc.NewClient(recording), wire: wire, stream: recording}
	conn.lastUsed.Store(time.Now().UnixNano())
	return conn, nil
}

// evictIdle evicts the peers whose connections have been idle for the longest time
// until MaxIdleConns idle connections remain. It also evicts the peers without a
// connection whose backoff expired more than failedPeerTTL ago.
func (c *Client) evictIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	lastUsed := map[string]int64{}
	var idle []string
	for a, p := range c.peers {
		p.mu.Lock()
		conn := p.conn
		stale := conn == nil && p.dialing == nil && time.Since(p.retryAt) > failedPeerTTL
		p.mu.Unlock()
		if stale {
			c.evict(a)
		}
		if conn != nil && conn.pending.Load() == 0 {
			lastUsed[a] = conn.lastUsed.Load()
			idle = append(idle, a)
		}
	}
	sort.Slice(idle, func(i, j int) bool { return lastUsed[idle[i]] < lastUsed[idle[j]] })
	for _, a := range idle[:max(0, len(idle)-c.MaxIdleConns)] {
		c.evict(a)
	}
}

// evict closes and removes a peer and its counters, so that their number doesn't
// grow with the number of addresses that were ever called. It does nothing if the
// peer is in use. The caller holds c.mu.
func (c *Client) evict(address string) {
	p := c.peers[address]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing != nil || p.conn != nil && p.conn.pending.Load() > 0 {
		return // used again since evictIdle inspected it
	}
	p.evicted = true
	if p.conn != nil {
		p.conn.close()
		p.conn = nil
	}
	delete(c.peers, address)
	c.Metrics.UnregisterMetric(fmt.Sprintf(sentBytesMetric, address))
	c.Metrics.UnregisterMetric(fmt.Sprintf(receivedBytesMetric, address))
}

// Close closes all connections. Running calls fail.
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
