package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	defaultDialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target doesn't
	// announce a timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the target announces.
	idleTimeoutMargin = 700 * time.Millisecond
)

// ErrBroken is the cause of an error if a late response to another request was
// truncated or exceeded maxStaleBodyBytes.
var ErrBroken = errors.New("connection broke")

// Call is one request as it is sent to one target.
type Call struct {
	// Address is the address of the target as host:port.
	Address string
	// Key identifies the connections of the target, and distinguishes them from those
	// of an earlier target at the same address.
	Key string
	// TLS requests a connection with TLS.
	TLS bool
	// NewConnection requests a new connection that is not reused.
	NewConnection bool
	Method        string
	URI           string // request target in the form in which the caller sent it
	Host          string
	Header        http.Header
	Body          []byte
	// BeforeWrite is called right before the first byte is written, which may be long after
	// the call began; nothing is sent if it returns an error. It may be nil.
	BeforeWrite func() error
	// Match returns to which call a response belongs; nil accepts the next response.
	Match func(*http.Response) Match
}

// Match states to which call a response belongs.
type Match int

// The results of Call.Match.
const (
	Own     Match = iota // to this call
	Foreign              // to an earlier call
	// Unnamed is a response that names no call. On a connection that served calls before
	// it may belong to one of them.
	Unnamed
)

// Pool is a pool of connections to targets. Unlike the client of net/http, it never
// sends a request twice, reports whether a byte was written, and skips late responses
// to earlier requests.
type Pool struct {
	// MaxIdle bounds the idle connections to one target; zero means 8.
	MaxIdle int
	// DialTimeout bounds the opening of a connection; zero means 0.7 s.
	DialTimeout time.Duration
	// TLS is the configuration for calls with TLS; nil means the defaults.
	TLS *tls.Config
	// IdleTimeout is how long an idle connection is kept if the target doesn't announce
	// a timeout; zero means 3 s.
	IdleTimeout time.Duration
	// OnOpen is called for each new connection; it may be nil.
	OnOpen func()

	mu   sync.Mutex
	idle map[string][]*conn // by Key, the most recently used at the end
	open int                // connections, both active and idle
}

// SendError is the error of a call that got no response.
type SendError struct {
	// Written reports whether a byte may have reached the target.
	Written bool
	// Dial reports whether no connection could be established.
	Dial bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("send (written %t): %v", e.Written, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Open returns the number of open connections, both active and idle.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Send sends the call and waits for the head of its response.
func (p *Pool) Send(ctx context.Context, c Call) (*Reply, error) {
	cn, reused, err := p.get(ctx, c)
	if err != nil {
		return nil, &SendError{Dial: true, Err: fmt.Errorf("connect to %s: %w", c.Address, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	fail := func(err error) (*Reply, error) {
		stop()
		p.discard(cn)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, &SendError{Written: true, Err: err}
	}
	cause := ctx.Err()
	if cause == nil && c.BeforeWrite != nil {
		cause = c.BeforeWrite()
	}
	if cause != nil {
		stop()
		p.discard(cn)
		return nil, &SendError{Err: cause}
	}
	upload, n, err := cn.write(c)
	if err != nil && n == 0 {
		stop()
		p.discard(cn)
		return nil, &SendError{Err: fmt.Errorf("write request: %w", err)}
	}
	if err != nil {
		return fail(fmt.Errorf("write request: %w", err))
	}
	response, err := cn.read(c, reused)
	if err != nil {
		return fail(fmt.Errorf("read response: %w", err))
	}
	if upload == nil {
		cn.inFlight.Store(false) // the target responds to a request that it has received
	}
	r := &Reply{
		Response: response, Reused: reused, pool: p, conn: cn, stop: stop, upload: upload,
		framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
	}
	return r, nil
}

func (c Call) match(response *http.Response) Match {
	if c.Match == nil {
		return Own
	}
	return c.Match(response)
}

// idleTimeoutFor returns how long a connection may stay idle according to the header
// Keep-Alive, or the default.
func (p *Pool) idleTimeoutFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
				return time.Duration(s)*time.Second - idleTimeoutMargin
			}
		}
	}
	return orDefault(p.IdleTimeout, defaultIdleTimeout)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// get returns an idle connection or opens a new one, and reports whether it is reused.
func (p *Pool) get(ctx context.Context, c Call) (*conn, bool, error) {
	for !c.NewConnection {
		cn := p.pop(c.Key)
		if cn == nil {
			break
		}
		if time.Since(cn.lastUsed) < cn.idleTimeout && cn.reusable() {
			return cn, true, nil
		}
		p.discard(cn)
	}
	raw, err := p.dial(ctx, c)
	if err != nil {
		return nil, false, err
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	if p.OnOpen != nil {
		p.OnOpen()
	}
	head := &io.LimitedReader{R: raw, N: math.MaxInt64}
	return &conn{Conn: raw, key: c.Key, noReuse: c.NewConnection, head: head, reader: bufio.NewReaderSize(head, 4096)}, false, nil
}

func (p *Pool) dial(ctx context.Context, c Call) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(p.DialTimeout, defaultDialTimeout))
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	if !c.TLS {
		return d.DialContext(ctx, "tcp", c.Address)
	}
	t := tls.Dialer{NetDialer: &d, Config: p.TLS}
	return t.DialContext(ctx, "tcp", c.Address)
}

func (p *Pool) pop(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return cn
}

func (p *Pool) put(c *conn) {
	maxIdle := p.MaxIdle
	if maxIdle == 0 {
		maxIdle = 8
	}
	c.lastUsed = time.Now()
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	list := append(p.idle[c.key], c)
	var surplus *conn
	if len(list) > maxIdle {
		surplus, list = list[0], list[1:]
	}
	p.idle[c.key] = list
	p.mu.Unlock()
	if surplus != nil {
		p.discard(surplus)
	}
}

func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Trim closes idle connections that have timed out, and all idle connections of
// targets for which keep returns false.
func (p *Pool) Trim(keep func(key string) bool) {
	p.mu.Lock()
	var expired []*conn
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(key) && time.Since(c.lastUsed) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}
