package upstream

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
)

// errUnframed is the error for a response that ends with its connection, so that a
// truncation could not be detected.
var errUnframed = errors.New("response without length or chunks")

// forwardPlain forwards a response that isn't an event stream. It is complete when its
// announced length or its last chunk has arrived.
func (e *Exchange) forwardPlain(destination io.Writer) Result {
	if e.Length() < 0 && len(e.response.TransferEncoding) == 0 {
		return e.endResult(errUnframed)
	}
	recorded := &usageRecorder{}
	writer := io.Writer(destinationWriter{destination})
	if e.attempt.Service.Kind == config.Model {
		writer = io.MultiWriter(writer, recorded)
	}
	n, err := copyBody(writer, io.LimitReader(e.response.Body, e.client.MaxResponse+1))
	switch {
	case err == nil && n > e.client.MaxResponse:
		err = boundError(fmt.Sprintf("response longer than %d bytes", e.client.MaxResponse))
	case err == nil && e.Length() >= 0 && n != e.Length() && e.attempt.Method != http.MethodHead:
		err = fmt.Errorf("response of %d bytes, announced %d: %w", n, e.Length(), io.ErrUnexpectedEOF)
	}
	result := e.endResult(err)
	if e.attempt.Service.Kind == config.Model && result.Complete {
		result.Tokens = recorded.tokens()
	}
	return result
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// copyBody copies the data as it arrives. io.Copy could use ReadFrom of the
// destination, which does not distinguish read errors from write errors.
func copyBody(w io.Writer, r io.Reader) (n int64, err error) {
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	for {
		m, err := r.Read(buffer)
		if m > 0 {
			n += int64(m)
			if _, werr := w.Write(buffer[:m]); werr != nil {
				return n, werr
			}
		}
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}
