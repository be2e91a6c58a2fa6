// Package hostlist reads the platform's list of hosts over HTTP.
package hostlist

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
)

// defaultTimeout is short enough for a read to end before the next one is due.
const defaultTimeout = time.Second

// Client reads the host list. Its exported fields must be set before the first call.
type Client struct {
	URL      string // base URL
	HTTP     *http.Client
	Timeout  time.Duration
	lastRead atomic.Pointer[time.Time]
}

var _ port.HostList = (*Client)(nil)

// New returns a client with the default timeout.
func New(url string) *Client {
	return &Client{URL: url, HTTP: &http.Client{}, Timeout: defaultTimeout}
}

type hostsResponse struct {
	// Hosts is a pointer because a response without the field must not be treated
	// as an empty list, by which every host would be considered gone.
	Hosts *[]struct {
		Name  string         `json:"name"`
		State port.HostState `json:"state"`
	} `json:"hosts"`
}

// Hosts returns the state of each listed host by name.
func (c *Client) Hosts(ctx context.Context) (map[string]port.HostState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := sling.New().Base(c.URL).Get("/hosts").Request()
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	var body hostsResponse
	response, err := sling.New().Client(c.HTTP).Do(request.WithContext(ctx), &body, nil)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read host list: status %d", response.StatusCode)
	}
	if body.Hosts == nil {
		return nil, errors.New("read host list: no hosts field")
	}
	hosts := make(map[string]port.HostState, len(*body.Hosts))
	for _, h := range *body.Hosts {
		hosts[h.Name] = h.State
	}
	now := time.Now()
	c.lastRead.Store(&now)
	return hosts, nil
}

// LastRead returns the time of the last successful read, or the zero time if there
// is none.
func (c *Client) LastRead() time.Time {
	if t := c.lastRead.Load(); t != nil {
		return *t
	}
	return time.Time{}
}
