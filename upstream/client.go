// Package upstream sends requests to targets over HTTP and forwards their responses
// unchanged.
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

const (
	// The defaults apply where a field of Client is zero.
	defaultMaxResponseBytes = 64 << 20
	defaultMaxEventBytes    = 1 << 20
	defaultConnectTimeout   = 2 * time.Second
	// clientIdleTimeout is longer than one round trip between failure domains with one
	// lost packet, and shorter than the idle timeouts of common servers.
	clientIdleTimeout = 4 * time.Second
)

// Client sends requests to targets. The exported fields are set before the first call.
type Client struct {
	// MaxResponse bounds one response in bytes; zero means 64 MiB.
	MaxResponse int64
	// MaxEvent bounds one event of a stream in bytes; zero means 1 MiB.
	MaxEvent int
	// ConnectTimeout bounds the opening of a connection; zero means 2 s.
	ConnectTimeout time.Duration
	// MaxIdlePerTarget bounds the idle connections to each target; zero means 64.
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
			c.MaxResponse = defaultMaxResponseBytes
		}
		if c.MaxEvent == 0 {
			c.MaxEvent = defaultMaxEventBytes
		}
		if c.ConnectTimeout == 0 {
			c.ConnectTimeout = defaultConnectTimeout
		}
		if c.MaxIdlePerTarget == 0 {
			c.MaxIdlePerTarget = 64
		}
		c.pool = &Pool{MaxIdle: c.MaxIdlePerTarget, DialTimeout: c.ConnectTimeout, IdleTimeout: clientIdleTimeout}
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
	// MaxTokens is the output limit that the request states; zero means none.
	MaxTokens int
	// AtMostOnce reports whether the request must not reach a target twice.
	AtMostOnce bool
	// BeforeWrite is that of the Call.
	BeforeWrite func() error
}

// Result is the result of an attempt.
type Result struct {
	port.Attempt
	// Written reports whether a byte may have been written to the target.
	Written bool
	// Complete reports whether the whole response was received and is well formed.
	Complete bool
	Tokens   request.Tokens
	// CallerGone reports whether the response couldn't be written to the caller.
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

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ForwardedHeaders returns the header without the hop-by-hop fields, the fields whose
// names begin with "Rattanline-", and the named ones.
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
	for _, name := range hopByHopHeaders {
		delete(passed, name)
	}
	for _, name := range except {
		passed.Del(name)
	}
	return passed
}
