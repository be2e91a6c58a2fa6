package edge

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an answer of a target in trouble whose status no caller can understand, which a
// caller gets as an answer, and against one that ends this daemon.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			r := newRig(t)
			raw := fmt.Sprintf("HTTP/1.1 %s Odd\r\nRequest-Id: ID\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok", status)
			bad := r.serve("desk", "i-1", hijack(raw, false))
			r.configure(plainRoute("/any/", "idempotent"), plainRoute("/once/", "non_idempotent"))
			d := r.start()
			r.awaitReady(bad)
			for _, path := range []string{"/once/", "/any/"} {
				a := ask(t, d, "POST", path, "body")
				assertStatus(t, a, 502)
				qt.Assert(t, a.header.Get("Server-Signature"), qt.Equals, "")
			}
		})
	}
}

// Guards against a part of an answer that a caller gets as a whole one, because its target reset the
// connection while the body of the request was being written.
func TestResetDuringUpload(t *testing.T) {
	r := newRig(t)
	bad := r.serveRaw("desk", "i-1", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\n\r\npart")
	r.configure(plainRoute("/once/", "non_idempotent"))
	d := r.start()
	r.awaitReady(bad)
	assertStatus(t, ask(t, d, "POST", "/once/", strings.Repeat("x", 1<<20)), 502)
}
