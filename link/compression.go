package link

import (
	"bufio"
	"compress/flate"
	"fmt"
	"io"
	"net"
)

// compressionPrefix is the first byte that a client sends on a connection whose bytes are
// compressed in both directions. Other connections begin with the length of a gob message, which
// is not zero.
const compressionPrefix = 0

// compressionLevel is the lowest level that refers back beyond the write before.
const compressionLevel = 2

// compressedConn compresses what is written to a connection and decompresses what is read from
// it. Each write is flushed. Both sides refer back to earlier messages, so names that each message
// repeats take few bytes.
type compressedConn struct {
	net.Conn
	reader io.Reader
	writer *flate.Writer
}

func newCompressedConn(c net.Conn, received io.Reader) (*compressedConn, error) {
	w, err := flate.NewWriter(c, compressionLevel)
	if err != nil {
		return nil, fmt.Errorf("compress link: %w", err)
	}
	return &compressedConn{Conn: c, reader: flate.NewReader(received), writer: w}, nil
}

func (c *compressedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

func (c *compressedConn) Write(p []byte) (int, error) {
	n, err := c.writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, c.writer.Flush()
}

// NetConn returns the connection that c wraps.
func (c *compressedConn) NetConn() net.Conn { return c.Conn }

// compress announces to the server that the connection is compressed.
func compress(c net.Conn) (net.Conn, error) {
	if _, err := c.Write([]byte{compressionPrefix}); err != nil {
		return nil, fmt.Errorf("announce compression: %w", err)
	}
	return newCompressedConn(c, c)
}

// bufferedConn reads from a connection through a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// acceptCompression waits for the first byte on an accepted connection, and returns the connection
// over which calls are served.
func acceptCompression(c net.Conn) (net.Conn, error) {
	r := bufio.NewReader(c)
	first, err := r.Peek(1)
	if err != nil {
		return nil, fmt.Errorf("read first byte: %w", err)
	}
	if first[0] != compressionPrefix {
		return &bufferedConn{Conn: c, reader: r}, nil
	}
	if _, err := r.Discard(1); err != nil {
		return nil, fmt.Errorf("read first byte: %w", err)
	}
	return newCompressedConn(c, r)
}
