package upstream

import (
	"bufio"
	"bytes"
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

	"rattanline.example/rattanline/socket"
)

const (
	dialTimeout = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept unused if the target doesn't
	// tell its timeout, idleMargin what it is kept shorter than that.
	defaultIdle = 3 * time.Second
	idleMargin  = 700 * time.Millisecond
	// maxForeign bounds the late responses to other requests that are read before
	// the awaited one.
	maxForeign = 4
	// inlineBody is the size up to which a body is written before the response
	// is read. A larger one is written meanwhile, because the target may answer
	// before it has read it.
	inlineBody = 8 << 10
	// maxHead bounds the head of a response.
	maxHead = 64 << 10
	// maxForeignBody bounds the body of a late response that is passed over.
	maxForeignBody = 4 << 20
)

// ErrBroken is the cause of a response that ended or was spoiled before its end.
var ErrBroken = errors.New("connection broke")

// ErrStopped is the cause of a call that was stopped before it was sent.
var ErrStopped = errors.New("stopped before it was sent")

// Call is one request as it is sent to one target.
type Call struct {
	// Address is the IP and port of the target, Key tells its connections apart
	// from those of an earlier target at the same address.
	Address, Key string
	// TLS wraps the connection; NewConnection asks for a new connection that is not kept.
	TLS, NewConnection bool
	Method     string
	URI        string // as the caller sent it
	Host       string
	Header     http.Header
	Body       []byte
	// Stop is asked right before the first byte is written, which may be long after
	// the call began; nothing is sent if it returns true. It may be nil.
	Stop func() bool
	// Matches tells whether a response belongs to this call; nil means that the next
	// one does.
	Matches func(*http.Response) bool
}

// Pool holds connections to targets. Unlike net/http's client it never sends a
// request twice, knows whether a byte was written, and passes over late
// responses to earlier requests.
type Pool struct {
	// MaxIdle bounds the unused connections to one target, zero means 8.
	MaxIdle int
	// DialTimeout bounds the opening of a connection, zero means 0.7 s.
	DialTimeout time.Duration
	// TLS is the configuration for calls with TLS; nil means the defaults.
	TLS *tls.Config
	// IdleTimeout is how long a connection stays unused if the target doesn't tell its
	// own time; zero means 3 s.
	IdleTimeout time.Duration
	// OnOpen is called for each new connection; it may be nil.
	OnOpen func()

	mu   sync.Mutex
	idle map[string][]*conn // by Key, the one used last at the end
	open int
}

type conn struct {
	net.Conn
	key    string
	reader *bufio.Reader
	used   time.Time
	keep   time.Duration
	fresh  bool // not to be kept
	// head bounds the bytes that are read for the head of a response.
	head *io.LimitedReader
}

// Reply is a response whose head has arrived. Close must be called.
type Reply struct {
	*http.Response
	// Reused tells that the connection had served requests before.
	Reused bool

	pool   *Pool
	conn   *conn
	stop   func() bool
	wrote  chan error // receives the end of the body's writing; nil if done
	ended  bool
	closed bool
	// framed tells that the response shows where it ends.
	framed bool
}

// SendError tells how far a call got that has no response.
type SendError struct {
	// Written tells that a byte may have reached the target.
	Written bool
	// Dial tells that no connection could be made.
	Dial bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("send (written %t): %v", e.Written, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Open returns the number of open connections, used and unused.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Send sends the call and waits for the head of its response.
func (p *Pool) Send(ctx context.Context, c Call) (*Reply, error) {
	cn, reused, err := p.take(ctx, c)
	if err != nil {
		return nil, &SendError{Dial: true, Err: fmt.Errorf("connect to %s: %w", c.Address, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	fail := func(err error) (*Reply, error) {
		stop()
		p.drop(cn)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, &SendError{Written: true, Err: err}
	}
	cause := ctx.Err()
	if cause == nil && c.Stop != nil && c.Stop() {
		cause = ErrStopped
	}
	if cause != nil {
		stop()
		p.drop(cn)
		return nil, &SendError{Err: cause}
	}
	wrote, n, err := cn.write(c)
	if err != nil && n == 0 {
		stop()
		p.drop(cn)
		return nil, &SendError{Err: fmt.Errorf("write request: %w", err)}
	}
	if err != nil {
		return fail(fmt.Errorf("write request: %w", err))
	}
	response, err := cn.read(c)
	if err != nil {
		return fail(fmt.Errorf("read response: %w", err))
	}
	r := &Reply{
		Response: response, Reused: reused, pool: p, conn: cn, stop: stop, wrote: wrote,
		framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
	}
	return r, nil
}

// write sends the request. The head and a small body go out at once; the end of
// a longer body is told on the channel.
func (c *conn) write(call Call) (chan error, int, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.URI, call.Host)
	if err := call.Header.Write(&head); err != nil {
		return nil, 0, fmt.Errorf("encode head: %w", err)
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	head.WriteString("\r\n")
	if len(call.Body) <= inlineBody {
		head.Write(call.Body)
		n, err := c.Write(head.Bytes())
		return nil, n, err
	}
	wrote := make(chan error, 1)
	go func() {
		_, err := (&net.Buffers{head.Bytes(), call.Body}).WriteTo(c.Conn)
		wrote <- err
	}()
	return wrote, 1, nil
}

// read returns the response that belongs to the call.
func (c *conn) read(call Call) (*http.Response, error) {
	for range maxForeign {
		c.head.N = maxHead
		response, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, err
		}
		c.head.N = math.MaxInt64
		if response.StatusCode/100 == 1 {
			continue
		}
		if call.Matches == nil || call.Matches(response) {
			return response, nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errors.New("unframed response to another request")
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxForeignBody); err != io.EOF {
			return nil, fmt.Errorf("response to another request: %w", ErrBroken)
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// Read reads the body. A response that ends before its end gives an error.
func (r *Reply) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// Complete tells that the response was read to its end.
func (r *Reply) Complete() bool { return r.ended }

// Close ends the exchange. The connection is kept if the response was read to
// its end and nothing speaks against it.
func (r *Reply) Close() error {
	stopped := r.stop()
	if r.closed {
		return nil
	}
	r.closed = true
	if !stopped || r.conn.fresh || !r.ended || !r.framed || r.Response.Close || r.wrote != nil && !r.written() || r.conn.reader.Buffered() > 0 {
		r.pool.drop(r.conn)
		return nil
	}
	r.conn.keep = r.pool.keepTime(r.Header)
	r.pool.put(r.conn)
	return nil
}

// written tells whether the whole body has been written.
func (r *Reply) written() bool {
	select {
	case err := <-r.wrote:
		return err == nil
	default:
		return false
	}
}

// keepTime returns how long a connection may stay unused, from the header
// Keep-Alive.
func (p *Pool) keepTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
				return time.Duration(s)*time.Second - idleMargin
			}
		}
	}
	return orDefault(p.IdleTimeout, defaultIdle)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// take returns an unused connection or opens one.
func (p *Pool) take(ctx context.Context, c Call) (*conn, bool, error) {
	for !c.NewConnection {
		cn := p.pop(c.Key)
		if cn == nil {
			break
		}
		if time.Since(cn.used) < cn.keep && cn.quiet() {
			return cn, true, nil
		}
		p.drop(cn)
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
	return &conn{Conn: raw, key: c.Key, fresh: c.NewConnection, head: head, reader: bufio.NewReaderSize(head, 4096)}, false, nil
}

func (p *Pool) dial(ctx context.Context, c Call) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(p.DialTimeout, dialTimeout))
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	if !c.TLS {
		return d.DialContext(ctx, "tcp", c.Address)
	}
	t := tls.Dialer{NetDialer: &d, Config: p.TLS}
	return t.DialContext(ctx, "tcp", c.Address)
}

// quiet tells that the connection is open and that no byte has arrived on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return socket.StateOf(c.Conn) == socket.Quiet
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
	most := p.MaxIdle
	if most == 0 {
		most = 8
	}
	c.used = time.Now()
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	list := append(p.idle[c.key], c)
	var surplus *conn
	if len(list) > most {
		surplus, list = list[0], list[1:]
	}
	p.idle[c.key] = list
	p.mu.Unlock()
	if surplus != nil {
		p.drop(surplus)
	}
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Trim closes connections that are too old to be used again, and all unused
// ones of targets that keep refuses.
func (p *Pool) Trim(keep func(key string) bool) {
	p.mu.Lock()
	var old []*conn
	for key, list := range p.idle {
		fresh := list[:0]
		for _, c := range list {
			if keep(key) && time.Since(c.used) < c.keep {
				fresh = append(fresh, c)
			} else {
				old = append(old, c)
			}
		}
		if len(fresh) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = fresh
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}
