package etcd_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/etcd"
	"rattanline.example/rattanline/port"
)

// serve starts a server that answers every call with the status and body. It returns
// a client and the path and body of the last request.
func serve(t *testing.T, status int, body string) (*etcd.Client, *string) {
	var got string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got = r.URL.Path + " " + string(data)
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	t.Cleanup(s.Close)
	return etcd.New(s.URL), &got
}

func checkSent(c *qt.C, got *string, want string) {
	c.Helper()
	c.Check(*got, qt.Equals, want+"\n")
}

// Guards against requests that a real gateway can't decode, and against responses of
// it that the client can't decode: numbers are strings, keys and values base64.
func TestWireFormat(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	c.Run("get", func(c *qt.C) {
		client, got := serve(t, 200, `{"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"7"}],"count":"1"}`)
		e, err := client.Get(ctx, "a")
		c.Assert(err, qt.IsNil)
		c.Check(e, qt.DeepEquals, port.Entry{Key: "a", Value: []byte("b"), Revision: 7})
		checkSent(c, got, `/v3/kv/range {"key":"YQ=="}`)
	})
	c.Run("absent key", func(c *qt.C) {
		client, _ := serve(t, 200, `{"header":{"revision":"9"}}`)
		e, err := client.Get(ctx, "a")
		c.Assert(err, qt.IsNil)
		c.Check(e.Revision, qt.Equals, int64(0))
	})
	c.Run("list", func(c *qt.C) {
		client, got := serve(t, 200, `{}`)
		_, err := client.List(ctx, "a/")
		c.Assert(err, qt.IsNil)
		checkSent(c, got, `/v3/kv/range {"key":"YS8=","range_end":"YTA="}`)
	})
	c.Run("commit", func(c *qt.C) {
		client, got := serve(t, 200, `{"header":{"revision":"12"},"succeeded":true}`)
		r, err := client.Commit(ctx, port.Transaction{
			Conditions: []port.Condition{{Key: "a"}},
			Writes:     []port.Write{{Key: "a", Value: []byte("b"), Lease: 5}, {Key: "c", Delete: true}},
		})
		c.Assert(err, qt.IsNil)
		c.Check(r, qt.Equals, port.Result{Committed: true, Revision: 12})
		checkSent(c, got, `/v3/kv/txn {"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"0"}],`+
			`"success":[{"request_put":{"key":"YQ==","value":"Yg==","lease":"5"}},{"request_delete_range":{"key":"Yw=="}}]}`)
	})
	c.Run("leases", func(c *qt.C) {
		client, got := serve(t, 200, `{"ID":"77","TTL":"5","result":{"ID":"77","TTL":"4"}}`)
		id, err := client.GrantLease(ctx, 4500*time.Millisecond)
		c.Assert(err, qt.IsNil)
		c.Check(id, qt.Equals, int64(77))
		checkSent(c, got, `/v3/lease/grant {"TTL":"5"}`)
		ttl, err := client.RenewLease(ctx, id)
		c.Assert(err, qt.IsNil)
		c.Check(ttl, qt.Equals, 4*time.Second)
		checkSent(c, got, `/v3/lease/keepalive {"ID":"77"}`)
	})
	c.Run("lease expired", func(c *qt.C) {
		client, _ := serve(t, 200, `{"result":{"ID":"77"}}`)
		ttl, err := client.RenewLease(ctx, 77)
		c.Assert(err, qt.IsNil)
		c.Check(ttl, qt.Equals, time.Duration(0))
		client, _ = serve(t, 404, `{"code":5,"message":"etcdserver: requested lease not found"}`)
		c.Check(client.RevokeLease(ctx, 77), qt.IsNil)
	})
}

// Guards against a write that is reported as not applied although it may have been
// applied.
func TestLostResponses(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	check := func(c *qt.C, client *etcd.Client, read, write error) {
		c.Helper()
		client.Timeout = 100 * time.Millisecond
		_, err := client.Get(ctx, "a")
		c.Check(err, qt.ErrorIs, read)
		_, err = client.Commit(ctx, port.Transaction{})
		c.Check(err, qt.ErrorIs, write)
	}
	c.Run("connection refused", func(c *qt.C) {
		s := httptest.NewServer(nil)
		s.Close()
		check(c, etcd.New(s.URL), port.ErrUnavailable, port.ErrUnavailable)
	})
	c.Run("no response in time", func(c *qt.C) {
		stop := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
		c.Cleanup(s.Close)
		c.Cleanup(func() { close(stop) })
		check(c, etcd.New(s.URL), port.ErrUnavailable, port.ErrOutcomeUnknown)
	})
	c.Run("connection broken", func(c *qt.C) {
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		c.Cleanup(s.Close)
		check(c, etcd.New(s.URL), port.ErrUnavailable, port.ErrOutcomeUnknown)
	})
	c.Run("server error", func(c *qt.C) {
		client, _ := serve(t, 503, `{"code":14,"message":"request timed out"}`)
		check(c, client, port.ErrUnavailable, port.ErrOutcomeUnknown)
	})
	c.Run("call budget exhausted", func(c *qt.C) {
		client, _ := serve(t, 200, `{}`)
		client.Limiter.SetBurst(0)
		check(c, client, port.ErrUnavailable, port.ErrUnavailable)
	})
	c.Run("next endpoint after a refused connection", func(c *qt.C) {
		s := httptest.NewServer(nil)
		s.Close()
		live, _ := serve(t, 200, `{}`)
		client := etcd.New(s.URL, live.Endpoints[0])
		_, err := client.Get(ctx, "a")
		c.Check(err, qt.ErrorIs, port.ErrUnavailable)
		_, err = client.Get(ctx, "a")
		c.Check(err, qt.IsNil)
	})
}

// Guards against missed deletions, and against a compaction that is handled like a
// broken stream, after which the watch would start at the compacted revision again.
func TestWatch(t *testing.T) {
	c := qt.New(t)
	stream := `{"result":{"created":true}}
{"result":{"header":{"revision":"4"}}}
{"result":{"events":[{"kv":{"key":"YQ==","value":"Yg==","mod_revision":"5"}},{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"6"}}]}}
`
	run := func(body string) ([]port.Event, string, error) {
		client, got := serve(t, 200, body)
		var events []port.Event
		err := client.Watch(context.Background(), "a", 4, func(e port.Event) { events = append(events, e) })
		return events, *got, err
	}
	events, got, err := run(stream)
	c.Check(err, qt.ErrorIs, port.ErrUnavailable)
	c.Check(got, qt.Contains, `"start_revision":"5"`)
	c.Assert(events, qt.HasLen, 2)
	c.Check(events[0].Entry, qt.DeepEquals, port.Entry{Key: "a", Value: []byte("b"), Revision: 5})
	c.Check(events[1].Deleted, qt.IsTrue)
	_, _, err = run(`{"result":{"canceled":true,"compact_revision":"40"}}`)
	c.Check(err, qt.ErrorIs, port.ErrCompacted)
	c.Run("no data for too long", func(c *qt.C) {
		client, _ := serve(t, 200, "")
		client.WatchIdleTimeout = 20 * time.Millisecond
		stop := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-stop }))
		c.Cleanup(s.Close)
		c.Cleanup(func() { close(stop) })
		client.Endpoints = []string{s.URL}
		err := client.Watch(context.Background(), "a", 4, func(port.Event) {})
		c.Check(err, qt.ErrorIs, port.ErrUnavailable)
	})
}
