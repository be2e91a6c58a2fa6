// Package etcd implements port.KeyValue with the etcd v3 HTTP/JSON gateway.
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
)

// The defaults of a client.
const (
	// defaultTimeout is far above the few milliseconds of a healthy service and
	// short enough for a renewal to be repeated within the lease.
	defaultTimeout = time.Second
	// defaultWatchIdle exceeds the interval of etcd's progress messages, which
	// is 10 minutes unless the service is configured otherwise.
	defaultWatchIdle = 15 * time.Minute
	// defaultRate bounds one daemon's share of the few hundred writes a second
	// that the service takes from the whole fleet.
	defaultRate  = 20
	defaultBurst = 40
)

// Client calls the gateway. The exported fields are set before the first call.
type Client struct {
	Endpoints        []string // base URLs; the next one is used when one can't be reached
	HTTP             *http.Client
	Timeout          time.Duration // deadline of each call except a watch
	WatchIdleTimeout time.Duration // a watch that is silent for longer is broken off
	Limiter          *rate.Limiter // calls a second, a watch counts as one
	Metrics          *metrics.Set  // nil uses the default set
	endpoint         atomic.Uint32
}

var _ port.KeyValue = (*Client)(nil)

// New returns a client with the default deadlines and budget.
func New(endpoints ...string) *Client {
	return &Client{
		Endpoints:        endpoints,
		HTTP:             &http.Client{Transport: transport()},
		Timeout:          defaultTimeout,
		WatchIdleTimeout: defaultWatchIdle,
		Limiter:          rate.NewLimiter(defaultRate, defaultBurst),
	}
}

// transport returns the default transport with faster detection of dead
// connections: a watch has no deadline, and a configuration change must be in
// force within 19 s even if the watch's connection died silently.
func transport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	dialer := net.Dialer{
		Timeout:         defaultTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 4 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	t.DialContext = dialer.DialContext
	t.Proxy = nil // the service is inside the platform
	return t
}

// Get reads one key; an absent key has revision zero.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	entries, err := c.read(ctx, rangeRequest{Key: encode(key)})
	if err != nil || len(entries) == 0 {
		return port.Entry{Key: key}, err
	}
	return entries[0], nil
}

// List reads all keys with the prefix.
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

// Commit applies the transaction if its conditions hold.
func (c *Client) Commit(ctx context.Context, t port.Transaction) (port.Result, error) {
	var reply txnReply
	if err := c.call(ctx, callKind{name: "txn", path: "v3/kv/txn", write: true}, newTxn(t), &reply); err != nil {
		return port.Result{}, err
	}
	return port.Result{Committed: reply.Succeeded, Revision: reply.Header.Revision}, nil
}

// GrantLease creates a lease; its time to live is rounded up to full seconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var reply leaseReply
	kind := callKind{name: "lease-grant", path: "v3/lease/grant", write: true}
	if err := c.call(ctx, kind, leaseRequest{TTL: seconds}, &reply); err != nil {
		return 0, err
	}
	return reply.ID, nil
}

// RenewLease extends the lease and returns its time to live, zero if it is gone.
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

// RevokeLease ends the lease and deletes its keys. A lease that is gone already
// is not an error.
func (c *Client) RevokeLease(ctx context.Context, id int64) error {
	kind := callKind{name: "lease-revoke", path: "v3/lease/revoke", write: true}
	err := c.call(ctx, kind, leaseRequest{ID: id}, &struct{}{})
	var s *statusError
	if asStatus(err, &s) && s.notFound() {
		return nil
	}
	return err
}

func encode(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }

// prefixEnd returns the first key after all keys with the prefix; "\x00" means
// the end of the key space.
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

func (c *Client) base() string {
	if len(c.Endpoints) == 0 {
		return "/"
	}
	e := c.Endpoints[int(c.endpoint.Load())%len(c.Endpoints)]
	return strings.TrimSuffix(e, "/") + "/"
}
