package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/standin"
)

const (
	// meanThinkTime is the mean pause of a caller between two requests.
	meanThinkTime = 40 * time.Millisecond
	// cancelFraction is the fraction of the requests that callers cancel early.
	cancelFraction = 0.03
	// keepAliveFraction is the fraction of the responses after which the connection
	// is kept open.
	keepAliveFraction = 0.9
)

// caller sends one request after the other over a connection to a daemon that the
// directory named.
type caller struct {
	cluster *cluster
	random  *rand.Rand
	account string
	domain  string
	number  int

	addresses  []string
	resolvedAt time.Time
	conn       net.Conn
	reader     *bufio.Reader
	frontend   string
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.resolve()
		if len(c.addresses) > 0 {
			c.sendRequest(n)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(meanThinkTime))):
		}
	}
	c.closeConnection()
}

func (c *caller) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// resolve refreshes the addresses if they are older than a second. It queries the
// directories of up to three random daemons until one returns addresses.
func (c *caller) resolve() {
	if time.Since(c.resolvedAt) < time.Second {
		return
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		p := c.cluster.processes[c.random.IntN(len(c.cluster.processes))]
		queried := time.Now()
		addresses, err := standin.ResolveHost(client, p.address(directoryPort), routeHost, c.domain)
		if err != nil || len(addresses) == 0 {
			continue // try another daemon
		}
		if time.Since(queried) < 500*time.Millisecond { // a slower process may have been stopped meanwhile
			c.cluster.checker.directoryAnswered(p.frontend(), addresses)
		}
		c.addresses, c.resolvedAt = addresses, time.Now()
		return
	}
}

func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	address := c.addresses[c.random.IntN(len(c.addresses))]
	conn, err := net.DialTimeout("tcp", c.cluster.proxyAddress(address), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.frontend = conn, bufio.NewReader(conn), address
	return true
}

// sendRequest sends one request and checks its response.
func (c *caller) sendRequest(n int) {
	if !c.connect() {
		return
	}
	k := kinds[c.random.IntN(len(kinds))]
	key, account := c.cluster.currentKey(c.account)
	id := digest(c.cluster.options.Seed, c.number, n)
	s := &sentRequest{kind: k, id: id, at: time.Now(), path: k.prefix + id, body: strings.Repeat(id, c.random.IntN(40)), frontend: c.frontend, account: account}
	if k.keyed {
		s.key = key
	}
	s.poisoned = k.stream && c.cluster.poisonInUse.Load() && c.random.Float64() < poisonFraction
	c.cluster.checker.requestSent(s)
	_ = c.conn.SetDeadline(time.Now().Add(requestTime))
	canceled := c.random.Float64() < cancelFraction
	if canceled {
		_ = c.conn.SetDeadline(time.Now().Add(time.Duration(c.random.IntN(200)) * time.Millisecond))
	}
	response, err := c.exchange(s, key)
	if err != nil {
		c.cluster.checker.requestEnded(s, 0, false)
		c.closeConnection()
		return
	}
	served, complete := c.check(s, response)
	c.cluster.checker.requestEnded(s, response.StatusCode, served)
	if !complete || response.Close || c.random.Float64() > keepAliveFraction {
		c.closeConnection()
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *caller) exchange(s *sentRequest, key string) (*http.Response, error) {
	demand := request.Demand{ID: s.id, Wait: requestTime}
	if s.kind.keyed {
		demand.APIKey = key
	}
	if s.kind.stream {
		demand.Prompt, demand.MaxOutput = 360, 60
		demand.Segments = []request.PromptSegment{{ID: fmt.Sprintf("ab%d", c.random.IntN(4)), Tokens: 300}, {ID: s.id, Tokens: 60}}
		if s.poisoned {
			demand.Segments = slices.Insert(demand.Segments, 1, request.PromptSegment{ID: poisonSegment, Tokens: 20})
		}
	}
	var head strings.Builder
	head.WriteString(standin.RequestHead(s.path, routeHost, demand))
	if c.random.IntN(2) == 0 {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(s.body), s.body)
	} else {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if s.body != "" {
			fmt.Fprintf(&head, "%x\r\n%s\r\n", len(s.body), s.body)
		}
		head.WriteString("0\r\n\r\n")
	}
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, nil)
}

// check reads the response. It reports whether the request was served and whether
// the response was complete.
func (c *caller) check(s *sentRequest, r *http.Response) (served, complete bool) {
	body, err := io.ReadAll(r.Body)
	complete = err == nil
	if r.StatusCode/100 != 2 {
		return false, complete
	}
	text := string(body)
	if signed := standin.Signature(r); signed != signature(s.id) {
		c.cluster.checker.report("MIXED", "request %s (%s) got a success with the signature %q", s.id, s.kind.name, signed)
		return false, complete
	}
	if !s.kind.stream {
		if complete && text != plainBody(s.id) {
			c.cluster.checker.report("MIXED", "request %s (%s) got a body of %d bytes that isn't its own", s.id, s.kind.name, len(text))
		}
		return complete && text == plainBody(s.id), complete
	}
	n := 0
	for n < eventCount && strings.HasPrefix(text, streamEvent(s.id, n+1)) {
		n++
		text = text[len(streamEvent(s.id, n)):]
	}
	if text != "" || complete && n < eventCount {
		c.cluster.checker.report("ORDER", "stream %s (%s) has after %d events %q, whole %t", s.id, s.kind.name, n, text, complete)
	}
	return complete && n == eventCount, complete
}
