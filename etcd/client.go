// Package etcd implements port.KeyValue with the HTTP/JSON gateway of etcd v3. A restore of etcd from a
// snapshot is not recognised.
package etcd

import (
	"context"
	"encoding/base64"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/socket"
)

// Defaults of a client.
const (
	// defaultTimeout is far above the few milliseconds in which a healthy service
	// responds, and short enough to repeat a renewal before the lease expires.
	defaultTimeout = time.Second
	// defaultWatchIdleTimeout exceeds the interval of etcd's progress notifications,
	// which is 10 minutes unless the service is configured otherwise.
	defaultWatchIdleTimeout = 15 * time.Minute
	// defaultCallsPerSecond is the maximum rate of one daemon, in calls per second. It
	// is the daemon's share of the few hundred writes per second that the service
	// sustains for the whole fleet.
	defaultCallsPerSecond = 20
	// defaultBurst is the number of calls that a daemon may make at once after a pause.
	defaultBurst = 40
)

// Client calls the gateway. The exported fields must be set before the first call.
type Client struct {
	// Endpoints are base URLs. After a call that could not connect, the next calls
	// use the next endpoint.
	Endpoints []string
	HTTP      *http.Client
	// Timeout bounds each call except a watch.
	Timeout time.Duration
	// WatchIdleTimeout is the time without a message after which a watch is
	// canceled; zero means that it never is.
	WatchIdleTimeout time.Duration
	// Limiter limits the rate of calls. A watch counts as one call.
	Limiter *rate.Limiter
	// Metrics receives the counters; nil means the default set.
	Metrics *metrics.Set

	endpoint atomic.Uint32
}

var _ port.KeyValue = (*Client)(nil)

// New returns a client with the default timeouts and rate limit.
func New(endpoints ...string) *Client {
	return &Client{
		Endpoints:        endpoints,
		HTTP:             &http.Client{Transport: transport()},
		Timeout:          defaultTimeout,
		WatchIdleTimeout: defaultWatchIdleTimeout,
		Limiter:          rate.NewLimiter(defaultCallsPerSecond, defaultBurst),
	}
}

// transport returns the default transport with TCP keep-alive probes that detect a
// dead connection within about 10 s. A watch has no deadline, and a configuration
// change must be in force within 19 s even if the connection of the watch is lost
// without notice.
func transport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	dialer := socket.Dialer{Dialer: net.Dialer{
		Timeout:         defaultTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 4 * time.Second, Interval: 2 * time.Second, Count: 3},
	}}
	t.DialContext = dialer.DialContext
	t.Proxy = nil // the service is inside the platform
	return t
}

// Get reads one key. The revision is zero if the key doesn't exist.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	entries, err := c.read(ctx, rangeRequest{Key: encode(key)})
	if err != nil || len(entries) == 0 {
		return port.Entry{Key: key}, err
	}
	return entries[0], nil
}

// List reads all entries whose keys have the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	return c.read(ctx, rangeRequest{Key: encode(prefix), RangeEnd: encode(prefixEnd(prefix))})
}

func (c *Client) read(ctx context.Context, r rangeRequest) ([]port.Entry, error) {
	var reply rangeReply
	if err := c.call(ctx, callKind{name: "range", path: "v3/kv/range"}, r, &reply); err != nil {
		return nil, err
	}
	entries := make([]port.Entry, len(reply.KVs))
	for i, kv := range reply.KVs {
		entries[i] = kv.entry()
	}
	return entries, nil
}

// Commit applies the transaction if its conditions hold, and reports whether they
// did. It returns port.ErrOutcomeUnknown if the response was lost.
func (c *Client) Commit(ctx context.Context, t port.Transaction) (port.Result, error) {
	var reply txnReply
	if err := c.call(ctx, callKind{name: "txn", path: "v3/kv/txn", write: true}, newTxn(t), &reply); err != nil {
		return port.Result{}, err
	}
	return port.Result{Committed: reply.Succeeded, Revision: reply.Header.Revision}, nil
}

// GrantLease creates a lease. Its time to live is rounded up to full seconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var reply leaseReply
	kind := callKind{name: "lease-grant", path: "v3/lease/grant", write: true}
	if err := c.call(ctx, kind, leaseRequest{TTL: seconds}, &reply); err != nil {
		return 0, err
	}
	return reply.ID, nil
}

// RenewLease extends the lease and returns its time to live, which is zero if the
// lease has expired or was revoked.
func (c *Client) RenewLease(ctx context.Context, id int64) (time.Duration, error) {
	var reply struct {
		Result leaseReply `json:"result"`
	}
	kind := callKind{name: "lease-keepalive", path: "v3/lease/keepalive", write: true}
	if err := c.call(ctx, kind, leaseRequest{ID: id}, &reply); err != nil {
		return 0, err
	}
	return time.Duration(reply.Result.TTL) * time.Second, nil
}

// RevokeLease revokes the lease, which deletes its keys. It returns no error if the
// lease doesn't exist anymore.
func (c *Client) RevokeLease(ctx context.Context, id int64) error {
	kind := callKind{name: "lease-revoke", path: "v3/lease/revoke", write: true}
	err := c.call(ctx, kind, leaseRequest{ID: id}, &struct{}{})
	var s *statusError
	if asStatusError(err, &s) && s.notFound() {
		return nil
	}
	return err
}

func encode(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }

// prefixEnd returns the end of the range of all keys with the prefix, which is
// exclusive. The value "\x00" means the end of the key space.
func prefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00"
}

// base returns the URL of the endpoint in use, with a final slash.
func (c *Client) base() string {
	if len(c.Endpoints) == 0 {
		return "/"
	}
	e := c.Endpoints[int(c.endpoint.Load())%len(c.Endpoints)]
	return strings.TrimSuffix(e, "/") + "/"
}
