package edge

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/platform"
)

// Guards against requests that wait at a machine that doesn't keep up: it leaves
// the directory, refuses what comes at once and truly, and comes back.
func TestOverload(t *testing.T) {
	r := newRig(t)
	desk := r.serve("desk", "i-desk", nil)
	r.configure(plainRoute("/read/", "idempotent"))
	slow, other := r.start(), r.start()
	r.awaitReady(desk)
	r.await("both in the directory", func() bool { return len(resolve(t, other)) == 2 })
	// As if timers had been late for long; the mean falls again by itself.
	slow.overload.lag.Store(int64(100 * time.Second))
	r.await("refused", func() bool { return ask(t, slow, "GET", "/read/", "").status == 503 })
	served := len(desk.requests())
	a := ask(t, slow, "GET", "/read/", "")
	assertStatus(t, a, 503)
	qt.Assert(t, a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, len(desk.requests()), qt.Equals, served)
	r.await("left the directory", func() bool {
		list := resolve(t, other)
		return len(list) == 1 && list[0] == other.Settings.FrontendAddress
	})
	r.await("back", func() bool {
		response, err := http.Get("http://" + slow.Settings.ReadyAddress + platform.ReadyPath)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
	assertStatus(t, ask(t, slow, "GET", "/read/", ""), 200)
}
