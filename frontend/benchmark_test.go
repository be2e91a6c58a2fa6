package frontend

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"
)

// BenchmarkLatency compares requests through one daemon with requests sent directly to
// its target. It reports median and p99 latency of one caller over loopback.
func BenchmarkLatency(b *testing.B) {
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range 20 {
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"w\"}}]}\n\n")
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	for _, c := range []struct {
		name, method, path, target, body string
		handler                          http.HandlerFunc
	}{
		{"plain", "GET", "/services/stock/x", "/x", "", answer(200, "in stock")},
		{"stream", "POST", "/v1/chat/completions", "/v1/chat/completions", chatBody, stream},
	} {
		r := newRig(b, c.handler)
		daemon := httptest.NewServer(r.Handler)
		b.Cleanup(daemon.Close)
		b.Run(c.name+"/direct", func(b *testing.B) { measure(b, c.method, r.targets[0].URL+c.target, c.body) })
		b.Run(c.name+"/daemon", func(b *testing.B) { measure(b, c.method, daemon.URL+c.path, c.body) })
	}
}

func measure(b *testing.B, method, url, body string) {
	client := &http.Client{Transport: &http.Transport{}}
	b.Cleanup(client.CloseIdleConnections)
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for b.Loop() {
		began := time.Now()
		q, _ := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
		q.Header.Set("Authorization", "Bearer key-one")
		q.Header.Set("X-Request-Id", "r-1")
		response, err := client.Do(q)
		if err != nil {
			b.Fatal(err)
		}
		if _, err = io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != 200 {
			b.Fatal(response.Status, err)
		}
		_ = response.Body.Close()
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "median-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
}
