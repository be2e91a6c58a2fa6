package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(lastID.Add(1))) }

// client is a client with one connection, which it keeps as long as it may.
type client struct {
	record  *record
	address string

	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// message is a request of a client.
type message struct {
	method, path, key string
	header            string // further lines, each with its end
	body              []byte
	deadline          time.Duration
}

// send sends the request, waits for the whole answer and records both.
func (c *client) send(m message) sent {
	s := sent{id: newID(), key: m.key, machine: c.address, path: m.path}
	defer func() { c.record.answered(s) }()
	if err := c.connect(); err != nil {
		s.at, s.end, s.err = time.Now(), time.Now(), err
		return s
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", m.method, m.path, host, s.id, m.deadline.Milliseconds())
	if m.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", m.key)
	}
	b.WriteString(m.header)
	if m.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	b.Write(m.body)
	s.at = time.Now()
	_ = c.conn.SetDeadline(s.at.Add(m.deadline))
	if _, s.err = c.conn.Write(b.Bytes()); s.err != nil {
		s.end = time.Now()
		c.close()
		return s
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: m.method})
	if err != nil {
		s.end, s.err = time.Now(), err
		c.close()
		return s
	}
	s.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	s.end, s.err, s.bytes, s.complete = time.Now(), err, len(body), err == nil
	s.events = strings.Count(string(body), "\n\n")
	if err != nil || response.Close {
		c.close()
	} else {
		_ = c.conn.SetDeadline(time.Time{})
	}
	return s
}
