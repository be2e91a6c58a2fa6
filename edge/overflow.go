package edge

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/directory"
	"rattanline.example/rattanline/gateway"
	"rattanline.example/rattanline/socket"
)

const (
	// defaultHandoverTime bounds a request that is passed on without a time of its own.
	defaultHandoverTime = 30 * time.Second
	// probeTimeout bounds a probe of a peer.
	probeTimeout = 500 * time.Millisecond
	// postponeTime is how long a peer with an older configuration gets no requests.
	postponeTime = 100 * time.Millisecond
	// overflowPeersTTL is how long the peers are cached, since each request needs them.
	overflowPeersTTL = 100 * time.Millisecond
)

// probeRequest asks an HTTP server whether it answers; net/http does so without the handler.
var probeRequest = []byte("OPTIONS * HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n")

// overflow passes connections of callers on to peers, byte by byte: all callers of an
// account may send to one small host, while others are idle. A peer serves one request on
// each of them.
type overflow struct {
	// peers returns the peers that may serve requests.
	peers func() []directory.Host
	// maxActive bounds the connections that are passed on at a time.
	maxActive int64
	// batchDelay returns how long the bytes of a response are collected before they are
	// forwarded together; zero disables batching.
	batchDelay func() time.Duration
	logger     *zerolog.Logger

	breaker  breaker
	active   atomic.Int64
	begun    atomic.Int64 // the requests that were passed on since the start
	mu       sync.Mutex
	cached   []directory.Host
	cachedAt clock.Instant
	// exchanges holds the connections to peers on which responses are awaited.
	exchanges map[net.Conn]bool
	// postponed holds when the peers stated that their configuration is older.
	postponed map[string]clock.Instant
	// aborted is set by abort.
	aborted bool
}

// overflowPeers returns the peers in the failure domain of this daemon to which callers may
// connect. Peers elsewhere are not used, because traffic between failure domains is
// expensive.
func (d *Daemon) overflowPeers() []directory.Host {
	now := clock.Now()
	var list []directory.Host
	for _, p := range d.exchange.Peers() {
		s := p.Status
		if s.Domain == d.self.Domain && s.Overflow != "" && s.Ready && !s.Leaving && p.Live(now) {
			list = append(list, hostOf(s, s.Overflow))
		}
	}
	return list
}

// peer selects a peer by its room. It returns false if none has any, or too many connections are
// passed on already.
func (o *overflow) peer() (string, bool) {
	if o.active.Load() >= o.maxActive {
		return "", false
	}
	h, ok := directory.PassOn(o.usablePeers())
	return h.Address, ok
}

// usablePeers returns the peers that answer and have no older configuration, and probes those that
// don't answer.
func (o *overflow) usablePeers() []directory.Host {
	now := clock.Now()
	var usable []directory.Host
	for _, p := range o.currentPeers() {
		ok, probe := o.breaker.check(p.Address, now)
		if probe {
			go o.probe(p.Address)
		}
		if ok && !o.isPostponed(p.Address, now) {
			usable = append(usable, p)
		}
	}
	return usable
}

func (o *overflow) isPostponed(peer string, now clock.Instant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.postponed[peer]
	if ok && now.Sub(at) > postponeTime {
		delete(o.postponed, peer)
		return false
	}
	return ok
}

func (o *overflow) currentPeers() []directory.Host {
	now := clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.cachedAt) >= overflowPeersTTL {
		o.cached, o.cachedAt = o.peers(), now
	}
	return o.cached
}

// passOn passes the connection, on which data was received, on to the peer. It returns at once.
func (o *overflow) passOn(conn net.Conn, data []byte, v gateway.PassOn) {
	wait := v.Wait
	if wait <= 0 {
		wait = defaultHandoverTime
	}
	h := &handover{overflow: o, caller: conn, data: withVersion(data, v.Version), deadline: time.Now().Add(wait)}
	o.active.Add(1)
	o.begun.Add(1)
	go func() {
		defer o.active.Add(-1)
		defer func() { _ = conn.Close() }()
		h.run(v.Peer)
	}()
}

// track adds a connection to those that abort resets. It returns false after abort.
func (o *overflow) track(peer net.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.exchanges == nil {
		o.exchanges = map[net.Conn]bool{}
	}
	o.exchanges[peer] = true
	return !o.aborted
}

func (o *overflow) untrack(peer net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.exchanges, peer)
}

// abort ends all exchanges, so that callers that were sent nothing get an answer.
func (o *overflow) abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.aborted = true
	for peer := range o.exchanges {
		_ = socket.Reset(peer)
	}
}

// postpone lets the peer get no requests for postponeTime.
func (o *overflow) postpone(peer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.postponed == nil {
		o.postponed = map[string]clock.Instant{}
	}
	o.postponed[peer] = clock.Now()
}

// probe asks the peer for an answer that takes it next to no time.
func (o *overflow) probe(peer string) {
	probes.Inc()
	d := net.Dialer{Timeout: probeTimeout, KeepAlive: -1}
	c, err := d.Dial("tcp", peer)
	if err != nil {
		o.breaker.unreachable(peer)
		return
	}
	defer func() { _ = socket.Reset(c) }()
	_ = c.SetDeadline(time.Now().Add(probeTimeout))
	_, err = c.Write(probeRequest)
	n := 0
	if err == nil {
		n, err = c.Read(make([]byte, len("HTTP/1.1")))
	}
	if n == 0 {
		o.logger.Info().Err(err).Str("peer", peer).Msg("peer answers neither requests nor a probe")
		return
	}
	o.breaker.recordContact(peer, clock.Now())
}
