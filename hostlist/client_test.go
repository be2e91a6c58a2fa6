package hostlist_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/hostlist"
	"rattanline.example/rattanline/port"
)

// Guards against a failed or malformed response that is treated as an empty list, by
// which every host would be considered gone.
func TestHosts(t *testing.T) {
	read := func(c *qt.C, status int, body string) (map[string]port.HostState, time.Time, error) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.Check(r.URL.Path, qt.Equals, "/hosts")
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}))
		defer s.Close()
		client := hostlist.New(s.URL)
		hosts, err := client.Hosts(context.Background())
		return hosts, client.LastRead(), err
	}
	c := qt.New(t)
	c.Run("listed", func(c *qt.C) {
		hosts, at, err := read(c, 200, `{"hosts":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]}`)
		c.Assert(err, qt.IsNil)
		c.Check(hosts, qt.DeepEquals, map[string]port.HostState{"a": port.HostLive, "b": port.HostLeaving})
		c.Check(at.IsZero(), qt.IsFalse)
	})
	for name, body := range map[string]string{"no field": `{}`, "not JSON": `<html>`} {
		c.Run(name, func(c *qt.C) {
			_, at, err := read(c, 200, body)
			c.Check(err, qt.IsNotNil)
			c.Check(at.IsZero(), qt.IsTrue)
		})
	}
	c.Run("status", func(c *qt.C) {
		_, _, err := read(c, 503, `{"hosts":[]}`)
		c.Check(err, qt.ErrorMatches, ".*status 503")
	})
}
