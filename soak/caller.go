package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/standin"
)

const (
	// think is the mean pause of a caller between two requests.
	think = 40 * time.Millisecond
	// leavePart is the part of the requests whose callers leave early.
	leavePart = 0.03
	// keepPart is the part of the answers after which a connection is kept.
	keepPart = 0.9
)

// caller sends one request after the other, on connections that it keeps until
// they end or the directory no longer names their daemon.
type caller struct {
	world   *world
	random  *rand.Rand
	account string
	zone    string
	number  int

	addresses []string
	told      time.Time
	conn      net.Conn
	reader    *bufio.Reader
	daemon    string
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.resolve()
		if len(c.addresses) > 0 {
			c.ask(n)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(think))):
		}
	}
	c.drop()
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// resolve asks the directory once a second.
func (c *caller) resolve() {
	if time.Since(c.told) < time.Second {
		return
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		m := c.world.machines[c.random.IntN(len(c.world.machines))]
		asked := time.Now()
		addresses, err := standin.ResolveHost(client, m.address(directoryPort), routeHost, c.zone)
		if err != nil || len(addresses) == 0 {
			continue // the next one is asked
		}
		if time.Since(asked) < 500*time.Millisecond { // else the process was stopped meanwhile
			c.world.judge.named(m.frontend(), addresses)
		}
		c.addresses, c.told = addresses, time.Now()
		return
	}
}

func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	address := c.addresses[c.random.IntN(len(c.addresses))]
	conn, err := net.DialTimeout("tcp", c.world.proxyOf(address), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.daemon = conn, bufio.NewReader(conn), address
	return true
}

// ask sends one request and checks its answer.
func (c *caller) ask(n int) {
	if !c.connect() {
		return
	}
	k := kinds[c.random.IntN(len(kinds))]
	key, account := c.world.keyOf(c.account)
	id := sum(c.world.options.Seed, c.number, n)
	s := &sent{kind: k, id: id, at: time.Now(), path: k.prefix + id, body: strings.Repeat(id, c.random.IntN(40)), daemon: c.daemon, account: account}
	if k.keyed {
		s.key = key
	}
	c.world.judge.send(s)
	_ = c.conn.SetDeadline(time.Now().Add(requestTime))
	leaves := c.random.Float64() < leavePart
	if leaves {
		_ = c.conn.SetDeadline(time.Now().Add(time.Duration(c.random.IntN(200)) * time.Millisecond))
	}
	response, err := c.exchange(s, key)
	if err != nil {
		c.world.judge.answered(s, 0, false)
		c.drop()
		return
	}
	served, whole := c.check(s, response)
	c.world.judge.answered(s, response.StatusCode, served)
	if !whole || response.Close || c.random.Float64() > keepPart {
		c.drop()
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *caller) exchange(s *sent, key string) (*http.Response, error) {
	demand := request.Demand{ID: s.id, Wait: requestTime}
	if s.kind.keyed {
		demand.APIKey = key
	}
	if s.kind.stream {
		demand.Prompt, demand.MaxOutput = 360, 60
		demand.Segments = []request.PromptSegment{{ID: fmt.Sprintf("ab%d", c.random.IntN(4)), Tokens: 300}, {ID: s.id, Tokens: 60}}
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

// check reads the answer and tells whether the request was served, and whether
// the answer was whole.
func (c *caller) check(s *sent, r *http.Response) (served, whole bool) {
	body, err := io.ReadAll(r.Body)
	whole = err == nil
	if r.StatusCode/100 != 2 {
		return false, whole
	}
	text := string(body)
	if signed := standin.Signature(r); signed != signature(s.id) {
		c.world.judge.report("MIXED", "request %s (%s) got a success with the signature %q", s.id, s.kind.name, signed)
		return false, whole
	}
	if !s.kind.stream {
		if whole && text != plainBody(s.id) {
			c.world.judge.report("MIXED", "request %s (%s) got a body of %d bytes that isn't its own", s.id, s.kind.name, len(text))
		}
		return whole && text == plainBody(s.id), whole
	}
	n := 0
	for n < events && strings.HasPrefix(text, event(s.id, n+1)) {
		n++
		text = text[len(event(s.id, n)):]
	}
	if text != "" || whole && n < events {
		c.world.judge.report("ORDER", "stream %s (%s) has after %d events %q, whole %t", s.id, s.kind.name, n, text, whole)
	}
	return whole && n == events, whole
}
