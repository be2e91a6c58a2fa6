package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// client sends requests of one zone: it asks a daemon for addresses, keeps the answer for its time to
// live, and connects to one of them.
type client struct {
	fleet *fleet
	zone  string
	http  *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

func (f *fleet) newClient(zone string) *client {
	return &client{fleet: f, zone: zone, http: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 4 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// address returns the address of a daemon.
func (c *client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

func (c *client) resolve() {
	f := c.fleet
	first := rand.IntN(len(f.daemons))
	for i := range 3 {
		d := f.daemons[(first+i)%len(f.daemons)]
		r, err := probeClient.Get(fmt.Sprintf("http://%s:%d/-/resolve?name=%s&region=cukurova&zone=%s", d.ip, f.ports.directory, routeHost, c.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(r.Body).Decode(&answer)
		_ = r.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(answer.TTL*float64(time.Second)))
			return
		}
	}
}

// call is a request of a client.
type call struct {
	method, path, key, body string
	deadline                time.Duration
	prompt, output          int
	segments                string
}

// answer is what a client got.
type answer struct {
	status int
	signed bool
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%d, cut: %v", a.status, a.err)
	}
	return fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends the request to the address and reads the whole answer.
func (c *client) send(address string, q call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	id := newID()
	r.Host = routeHost
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		r.Header.Set("Authorization", "Token "+q.key)
	}
	if q.prompt > 0 {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", q.prompt, q.output))
		r.Header.Set("Prefix-Hash", q.segments)
	}
	c.fleet.mu.Lock()
	c.fleet.sent[id] = sent{q.key, address, time.Now()}
	c.fleet.mu.Unlock()
	a := c.exchange(r)
	c.fleet.record.add("client sent %s %s to %s, answered %s", id, q.path, address, a)
	return a
}

// sentAt returns when a client sent the request, the zero time if none did.
func (f *fleet) sentAt(request string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[request].at
}

func (c *client) exchange(r *http.Request) answer {
	response, err := c.http.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("Server-Signature") != "", string(body), err}
}

// prompt returns a prompt whose first segment others share, and whose last one is its own.
func (f *fleet) prompt(route string, shared, own, output int) call {
	return call{
		method: http.MethodPost, path: route + "2f", key: f.anyKey(), body: strings.Repeat("x", 2*(shared+own)),
		deadline: 6 * time.Second, prompt: shared + own, output: output,
		segments: fmt.Sprintf("%08x:%d,%016x:%d", 0x100+rand.IntN(40), shared, rand.Uint64(), own),
	}
}

// traffic sends requests at random times with the rate until the context ends.
func (f *fleet) traffic(ctx context.Context, perSecond float64, next func() call) {
	clients := []*client{}
	for _, z := range zones {
		for range 4 {
			clients = append(clients, f.newClient(z))
		}
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		c := clients[rand.IntN(len(clients))]
		q := next()
		go func() {
			if a := c.address(); a != "" {
				c.send(a, q)
			}
		}()
	}
}
