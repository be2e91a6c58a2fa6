package standin

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// post sends JSON and returns the status and the response body without surrounding
// white space. Status zero means that the connection was closed without a response.
func post(c *qt.C, url, body string) (int, string) {
	c.Helper()
	r, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = r.Body.Close() }()
	var b bytes.Buffer
	_, err = b.ReadFrom(r.Body)
	c.Assert(err, qt.IsNil)
	return r.StatusCode, strings.TrimSpace(b.String())
}

func b64(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

// putIf returns the body of a transaction that writes the key if its last
// modification has the revision, and otherwise reads it.
func putIf(key string, revision int64, value string) string {
	return fmt.Sprintf(`{"compare":[{"key":%q,"target":"MOD","result":"EQUAL","mod_revision":"%d"}],`+
		`"success":[{"request_put":{"key":%q,"value":%q}}],"failure":[{"requestRange":{"key":%q}}]}`,
		b64(key), revision, b64(key), b64(value), b64(key))
}

func assertValue(c *qt.C, url, key, want string) {
	c.Helper()
	_, body := post(c, url+"/v3/kv/range", fmt.Sprintf(`{"key":%q}`, b64(key)))
	var r struct{ KVs []struct{ Value []byte } }
	c.Assert(json.Unmarshal([]byte(body), &r), qt.IsNil)
	if want == "" {
		c.Assert(r.KVs, qt.HasLen, 0)
		return
	}
	c.Assert(r.KVs, qt.HasLen, 1)
	c.Assert(string(r.KVs[0].Value), qt.Equals, want)
}

func TestKeyValueTransactions(t *testing.T) {
	c := qt.New(t)
	url, _ := Start(c, NewKeyValue())
	c.Run("of two writers on one revision one succeeds", func(c *qt.C) {
		_, body := post(c, url+"/v3/kv/txn", putIf("a", 0, "one"))
		c.Assert(body, qt.Contains, `"succeeded":true`)
		c.Assert(body, qt.Contains, `"revision":"2"`)
		_, body = post(c, url+"/v3/kv/txn", putIf("a", 0, "two"))
		c.Assert(body, qt.Not(qt.Contains), "succeeded")
		c.Assert(body, qt.Contains, `"response_range":{"header"`)
		assertValue(c, url, "a", "one")
	})
	c.Run("a failing operation applies nothing", func(c *qt.C) {
		status, body := post(c, url+"/v3/kv/txn", fmt.Sprintf(
			`{"success":[{"request_put":{"key":%[1]q,"value":""}},{"request_put":{"key":%[1]q,"lease":"99"}}]}`, b64("b")))
		c.Assert(status, qt.Equals, http.StatusNotFound)
		c.Assert(body, qt.Contains, "requested lease not found")
		assertValue(c, url, "b", "")
	})
	c.Run("ranges are ordered and limited", func(c *qt.C) {
		for _, k := range []string{"p/2", "p/1", "p/3", "q"} {
			post(c, url+"/v3/kv/put", fmt.Sprintf(`{"key":%q,"value":%q}`, b64(k), b64(k)))
		}
		_, body := post(c, url+"/v3/kv/range", fmt.Sprintf(`{"key":%q,"range_end":%q,"limit":2}`, b64("p/"), b64("p0")))
		var r rangeResponse
		c.Assert(json.Unmarshal([]byte(body), &r), qt.IsNil)
		c.Assert(string(r.KVs[0].Key)+string(r.KVs[1].Key), qt.Equals, "p/1p/2")
		c.Assert(r.More, qt.IsTrue)
		c.Assert(r.Count, qt.Equals, integer(3))
	})
	c.Run("a value above one megabyte is refused", func(c *qt.C) {
		status, _ := post(c, url+"/v3/kv/put", fmt.Sprintf(`{"key":"YQ==","value":%q}`, b64(strings.Repeat("x", maxValue+1))))
		c.Assert(status, qt.Equals, http.StatusBadRequest)
	})
}

func TestKeyValueFaults(t *testing.T) {
	c := qt.New(t)
	url, _ := Start(c, NewKeyValue())
	fault := func(body string) {
		status, text := post(c, url+"/admin/fault", body)
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	}
	// Guards against a lose-response fault that closes the connection before the
	// write takes effect, and so loses the write as well.
	c.Run("a lost response leaves the write in effect", func(c *qt.C) {
		fault(`{"lose-response":1}`)
		status, _ := post(c, url+"/v3/kv/txn", putIf("a", 0, "one"))
		c.Assert(status, qt.Equals, 0)
		fault(`{"lose-response":0}`)
		assertValue(c, url, "a", "one")
	})
	c.Run("an outage applies nothing", func(c *qt.C) {
		for kind, want := range map[string]int{OutageRefuse: http.StatusServiceUnavailable, OutageClose: 0} {
			fault(fmt.Sprintf(`{"outage":%q}`, kind))
			status, _ := post(c, url+"/v3/kv/put", `{"key":"Yg==","value":"Yg=="}`)
			c.Assert(status, qt.Equals, want)
		}
		fault(`{"outage":""}`)
		assertValue(c, url, "b", "")
	})
	c.Run("calls are counted by kind", func(c *qt.C) {
		r, err := http.Get(url + "/admin/calls")
		c.Assert(err, qt.IsNil)
		var calls Calls
		c.Assert(json.NewDecoder(r.Body).Decode(&calls), qt.IsNil)
		c.Assert(calls.Calls, qt.DeepEquals, map[string]int{"txn": 1, "range": 2, "put": 2})
	})
}

func TestKeyValueLease(t *testing.T) {
	c := qt.New(t)
	url, _ := Start(c, NewKeyValue())
	grant := func(key string) string {
		_, body := post(c, url+"/v3/lease/grant", `{"TTL":"1"}`)
		var l leaseResponse
		c.Assert(json.Unmarshal([]byte(body), &l), qt.IsNil)
		post(c, url+"/v3/kv/put", fmt.Sprintf(`{"key":%q,"value":"eA==","lease":"%d"}`, b64(key), l.ID))
		return fmt.Sprintf(`{"ID":"%d"}`, l.ID)
	}
	revoked, renewed := grant("revoked"), grant("renewed")
	expired := grant("expired")
	post(c, url+"/v3/lease/revoke", revoked)
	assertValue(c, url, "revoked", "")
	assertValue(c, url, "expired", "x")
	time.Sleep(700 * time.Millisecond)
	_, body := post(c, url+"/v3/lease/keepalive", renewed)
	c.Assert(body, qt.Contains, `"TTL":"1"`)
	time.Sleep(500 * time.Millisecond)
	assertValue(c, url, "renewed", "x")
	assertValue(c, url, "expired", "")
	_, body = post(c, url+"/v3/lease/keepalive", expired)
	c.Assert(body, qt.Not(qt.Contains), "TTL")
}

func TestKeyValueWatch(t *testing.T) {
	c := qt.New(t)
	k := NewKeyValue()
	url, _ := Start(c, k)
	watch := func(c *qt.C, start int64) *json.Decoder {
		r, err := http.Post(url+"/v3/watch", "application/json", strings.NewReader(fmt.Sprintf(
			`{"create_request":{"key":%q,"range_end":%q,"start_revision":"%d"}}`, b64("a"), b64("b"), start)))
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = r.Body.Close() })
		return json.NewDecoder(r.Body)
	}
	next := func(c *qt.C, d *json.Decoder) watchResponse {
		c.Helper()
		var x result[watchResponse]
		c.Assert(d.Decode(&x), qt.IsNil)
		return x.Result
	}
	post(c, url+"/v3/kv/txn", putIf("a1", 0, "one")) // revision 2
	post(c, url+"/v3/kv/txn", putIf("b1", 0, "other"))
	d := watch(c, 2)
	c.Assert(next(c, d).Created, qt.IsTrue)
	c.Run("sends past and new changes of its range once", func(c *qt.C) {
		c.Assert(string(next(c, d).Events[0].KV.Value), qt.Equals, "one")
		post(c, url+"/v3/kv/txn", putIf("a1", 2, "two"))
		c.Assert(string(next(c, d).Events[0].KV.Value), qt.Equals, "two")
		post(c, url+"/v3/kv/deleterange", `{"key":"YTE="}`)
		e := next(c, d).Events
		c.Assert(e, qt.HasLen, 1)
		c.Assert(e[0].Type, qt.Equals, "DELETE")
	})
	c.Run("a waiting watch counts once", func(c *qt.C) {
		c.Assert(k.Calls().Calls["watch"], qt.Equals, 1)
		c.Assert(k.Calls().Watching, qt.Equals, 1)
	})
	c.Run("a compacted start revision is reported", func(c *qt.C) {
		c.Assert(k.SetFault(KeyValueFault{Compact: true}), qt.IsNil)
		old := watch(c, 2)
		c.Assert(next(c, old).Created, qt.IsTrue)
		x := next(c, old)
		c.Assert(x.Canceled, qt.IsTrue)
		c.Assert(x.CompactRevision, qt.Equals, integer(5))
	})
	c.Run("a cut ends the stream", func(c *qt.C) {
		c.Assert(k.SetFault(KeyValueFault{CutWatches: true}), qt.IsNil)
		c.Assert(d.Decode(&struct{}{}), qt.IsNotNil)
	})
}
