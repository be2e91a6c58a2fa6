package upstream

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// uploadEndWait is how long the end of an unframed response waits for an error of the body of the
// request that is still being written. A reset ends both within moments.
const uploadEndWait = 100 * time.Millisecond

// Reply is a response whose head has arrived. Close must be called.
type Reply struct {
	*http.Response
	// Reused reports whether the connection served requests before.
	Reused bool

	pool   *Pool
	conn   *conn
	stop   func() bool // stops the close of the connection on the end of the context; false if it has begun
	upload *upload     // of the body; nil if it was written inline
	ended  bool
	closed bool
	// framed reports whether the response has a length or chunks; an unframed one ends
	// with its connection.
	framed bool
}

// Read reads the body. It returns an error if the response is truncated, but can't
// detect that for an unframed response whose connection the target closed regularly.
func (r *Reply) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if err != io.EOF {
		return n, err
	}
	if !r.framed && r.upload != nil {
		// The kernel reports a reset to one caller only. The reader sees a regular end if
		// that was the writer.
		if err := r.upload.failure(uploadEndWait); err != nil {
			return n, fmt.Errorf("%w: write request: %w", io.ErrUnexpectedEOF, err)
		}
	}
	r.ended = true
	return n, io.EOF
}

// Complete reports whether the response was read to its end.
func (r *Reply) Complete() bool { return r.ended }

// Close ends the call. The connection is returned to the pool if the response was
// read to its end and the connection can be reused.
func (r *Reply) Close() error {
	stopped := r.stop()
	if r.closed {
		return nil
	}
	r.closed = true
	sent := r.upload == nil || r.upload.complete()
	if sent && r.ended {
		r.conn.inFlight.Store(false) // nothing is given up, and the target may still read the body
	}
	if !stopped || r.conn.noReuse || !r.ended || !r.framed || r.Response.Close || !sent || r.conn.reader.Buffered() > 0 {
		r.pool.discard(r.conn)
		return nil
	}
	r.conn.idleTimeout = r.pool.idleTimeoutFor(r.Header)
	r.pool.put(r.conn)
	return nil
}
