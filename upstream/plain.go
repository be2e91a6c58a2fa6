package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/request"
)

// maxUsageBody bounds the JSON response that is kept to read its usage.
const maxUsageBody = 4 << 20

// errUnframed tells of a response that ends with its connection, so that a
// truncation could not be seen.
var errUnframed = errors.New("response without length or chunks")

// forwardPlain passes on a response that is complete when its announced length
// or its last chunk has arrived.
func (e *Exchange) forwardPlain(destination io.Writer) Result {
	if e.Length() < 0 && len(e.response.TransferEncoding) == 0 {
		return e.ended(errUnframed)
	}
	kept := &keptBody{}
	writer := io.Writer(markedWriter{destination})
	if e.attempt.Service.Kind == config.Model {
		writer = io.MultiWriter(writer, kept)
	}
	n, err := copyBody(writer, io.LimitReader(e.response.Body, e.client.MaxResponse+1))
	switch {
	case err == nil && n > e.client.MaxResponse:
		err = boundError(fmt.Sprintf("response longer than %d bytes", e.client.MaxResponse))
	case err == nil && e.Length() >= 0 && n != e.Length() && e.attempt.Method != http.MethodHead:
		err = fmt.Errorf("response of %d bytes, announced %d: %w", n, e.Length(), io.ErrUnexpectedEOF)
	}
	result := e.ended(err)
	if e.attempt.Service.Kind == config.Model && result.Complete {
		result.Tokens = kept.tokens()
	}
	return result
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// copyBody copies in pieces as they arrive; io.Copy could use ReadFrom of the
// destination, which doesn't tell errors of both sides apart.
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

// keptBody keeps a response up to a bound.
type keptBody struct {
	data []byte
	over bool
}

// Write implements io.Writer.
func (k *keptBody) Write(p []byte) (int, error) {
	if k.over || len(k.data)+len(p) > maxUsageBody {
		k.over, k.data = true, nil
		return len(p), nil
	}
	k.data = append(k.data, p...)
	return len(p), nil
}

func (k *keptBody) tokens() request.Tokens {
	var body struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(k.data, &body) != nil || body.Usage == nil {
		return request.Tokens{}
	}
	return body.Usage.tokens()
}
