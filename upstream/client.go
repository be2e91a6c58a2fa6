// Package upstream sends requests to targets over HTTP and returns their
// responses as they were produced.
package upstream

import (
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// The bounds that apply where a field of Client is zero.
const (
	defaultMaxResponse    = 64 << 20
	defaultMaxEvent       = 1 << 20
	defaultConnectTimeout = 2 * time.Second
	// Longer than one round trip between failure domains with one lost packet,
	// shorter than the time in which common servers close idle connections.
	idleTimeout = 4 * time.Second
)

// Client sends requests to targets. Fields are set before the first call.
type Client struct {
	// MaxResponse bounds the bytes of one response.
	MaxResponse int64
	// MaxEvent bounds the bytes of one event of a stream.
	MaxEvent       int
	ConnectTimeout time.Duration
	// MaxIdlePerTarget bounds the idle connections kept to each target.
	MaxIdlePerTarget int

	once sync.Once
	pool *Pool
}

var (
	droppedResponses = metrics.NewCounter(`rattanline_dropped_responses_total`)
	resumedStreams   = metrics.NewCounter(`rattanline_resumed_streams_total`)
)

func (c *Client) init() {
	c.once.Do(func() {
		if c.MaxResponse == 0 {
			c.MaxResponse = defaultMaxResponse
		}
		if c.MaxEvent == 0 {
			c.MaxEvent = defaultMaxEvent
		}
		if c.ConnectTimeout == 0 {
			c.ConnectTimeout = defaultConnectTimeout
		}
		if c.MaxIdlePerTarget == 0 {
			c.MaxIdlePerTarget = 64
		}
		c.pool = &Pool{MaxIdle: c.MaxIdlePerTarget, DialTimeout: c.ConnectTimeout, IdleTimeout: idleTimeout}
	})
}

// Attempt is one request to one target.
type Attempt struct {
	Identity request.Identity
	Target   config.Target
	Service  config.Service
	Method   string
	// Path is the escaped path at the target, with a leading slash.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// MaxTokens bounds the output that the request asks for; zero means no bound.
	MaxTokens int
	// AtMostOnce tells that the request must not reach a target twice.
	AtMostOnce bool
}

// Result tells how an attempt ended.
type Result struct {
	port.Attempt
	// Written tells that a byte may have been written to the target.
	Written bool
	// Complete tells that the whole response was received and is well formed.
	Complete bool
	Tokens   request.Tokens
	// CallerGone tells that the response couldn't be written to the caller.
	CallerGone bool
	Err        error
}

// targetURL joins the target's base URL with the path of the attempt.
func targetURL(t config.Target, path, query string) (*url.URL, error) {
	base, err := url.Parse(t.URL)
	if err != nil {
		return nil, err
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, errors.Errorf("target URL %q is not an HTTP address", t.URL)
	}
	full := strings.TrimSuffix(base.EscapedPath(), "/") + path
	unescaped, err := url.PathUnescape(full)
	if err != nil {
		return nil, err
	}
	return &url.URL{Scheme: base.Scheme, Host: base.Host, Path: unescaped, RawPath: full, RawQuery: query}, nil
}

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ForwardedHeaders returns the header without those of the connection, those of
// ours, and the named ones.
func ForwardedHeaders(h http.Header, except ...string) http.Header {
	passed := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, "Rattanline-") {
			passed[name] = values
		}
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(passed, name)
	}
	for _, name := range except {
		passed.Del(name)
	}
	return passed
}
