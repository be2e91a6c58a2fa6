package daemon_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/fleet"
	"rattanline.example/rattanline/standin"
)

const streamTokens = 2000

// countStreamEvents requests one streamed response and returns the number of its
// events.
func countStreamEvents(url string) (events int, err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"draft"}]}`,
		fleet.Assistant, streamTokens)
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+fleet.Key("shop"))
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	return events, lines.Err()
}

// processCPUTime returns the user and system time of this process. Other load on
// the host affects it less than elapsed time.
func processCPUTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkStream compares the CPU time per token of streams through one daemon
// with that of streams read directly from the engine. Both figures include the CPU
// time of the engine and the caller, which run in the same process.
func BenchmarkStream(b *testing.B) {
	c := qt.New(b)
	// The engine generates tokens as fast as the caller reads them.
	f := startSingle(c, fleet.Assistant, []standin.EngineOptions{{TargetOptions: highCapacity}}, nil)
	urls := map[string]string{"routed": f.Members[0].EntryURL(), "direct": f.Members[0].Targets()[0].URL}
	_, err := countStreamEvents(urls["routed"]) // waits for the first slot
	c.Assert(err, qt.IsNil)
	for name, url := range urls {
		b.Run(name, func(b *testing.B) {
			var tokens atomic.Int64
			start := processCPUTime()
			b.SetParallelism(2)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					n, err := countStreamEvents(url)
					if err != nil || n < streamTokens {
						b.Errorf("%d events: %v", n, err)
						return
					}
					tokens.Add(int64(n))
				}
			})
			b.ReportMetric(float64(processCPUTime()-start)/float64(tokens.Load()), "cpu-ns/token")
			b.ReportMetric(float64(tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}
