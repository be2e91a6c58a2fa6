package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// staleFleet simulates daemons that choose among engines by reports that are old.
type staleFleet struct {
	tables  []*Table
	reports []map[string]Work // of each daemon, as of its last report
	engines map[string]*simulatedEngine
	random  *rand.Rand
}

// simulatedEngine processes prompts one after the other.
type simulatedEngine struct {
	queue []simulatedPrompt
	waits []time.Duration // of the prompts that began
}

type simulatedPrompt struct {
	table  *Table
	tokens float64
	left   float64
	sent   time.Duration
}

func newStaleFleet(daemons, engines int) *staleFleet {
	f := &staleFleet{engines: map[string]*simulatedEngine{}, random: rand.New(rand.NewPCG(1, 2)), reports: make([]map[string]Work, daemons)}
	for i := range engines {
		f.engines[fmt.Sprint("t", i)] = &simulatedEngine{}
	}
	for d := range daemons {
		table := newTable(fmt.Sprint("d", d), nil, engines)
		table.PeerWork = func() map[string]Work { return f.others(d) }
		f.tables = append(f.tables, table)
	}
	return f
}

// others returns the work that the other daemons reported.
func (f *staleFleet) others(daemon int) map[string]Work {
	sum := map[string]Work{}
	for d, report := range f.reports {
		if d == daemon {
			continue
		}
		for name, w := range report {
			s := sum[name]
			sum[name] = Work{Requests: s.Requests + w.Requests, Prompt: s.Prompt + w.Prompt}
		}
	}
	return sum
}

// run sends prompts that take the fraction of what the engines can process. Reports are age
// old on average. It returns the waits until the prompts were processed, in ascending order.
func (f *staleFleet) run(load float64, age, span time.Duration) []time.Duration {
	const step, tokens = 10 * time.Millisecond, 2000.0
	perStep := load * defaultSpeed * float64(len(f.engines)) * step.Seconds() / tokens
	for now := time.Duration(0); now < span; now += step {
		for d, table := range f.tables {
			if (now/step+time.Duration(d))%(2*age/step) == 0 {
				f.reports[d] = table.InFlight()
			}
		}
		for due := perStep; due > f.random.Float64(); due-- {
			f.send(now, tokens*(0.5+f.random.Float64()))
		}
		for name, e := range f.engines {
			e.process(name, now, defaultSpeed*step.Seconds())
		}
	}
	var waits []time.Duration
	for _, e := range f.engines {
		waits = append(waits, e.waits...)
	}
	slices.Sort(waits)
	return waits
}

func (f *staleFleet) send(now time.Duration, tokens float64) {
	table := f.tables[f.random.IntN(len(f.tables))]
	c, ok := table.Choose(Query{Service: "engine", Engine: true, Demand: request.Demand{Prompt: int(tokens)}})
	if !ok {
		return
	}
	table.Started(c.Target.Name, c.PromptTokens, nil)
	e := f.engines[c.Target.Name]
	e.queue = append(e.queue, simulatedPrompt{table, c.PromptTokens, c.PromptTokens, now})
}

func (e *simulatedEngine) process(name string, now time.Duration, tokens float64) {
	for len(e.queue) > 0 && tokens > 0 {
		p := &e.queue[0]
		done := min(tokens, p.left)
		tokens, p.left = tokens-done, p.left-done
		if p.left > 0 {
			return
		}
		p.table.PromptProcessed(name, p.tokens)
		p.table.Ended(name, port.Attempt{Result: port.Succeeded}, Choice{Wait: time.Second})
		e.waits = append(e.waits, now-p.sent)
		e.queue = e.queue[1:]
	}
}

// Guards against daemons that all send to the targets that were idle when the last reports
// were made, so that prompts wait at these while other targets are idle.
func TestOldReportsDontCrowdTargets(t *testing.T) {
	for _, load := range []float64{0.4, 0.7} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			waits := newStaleFleet(40, 60).run(load, 250*time.Millisecond, 8*time.Second)
			nine := waits[len(waits)*9/10]
			qt.Check(t, nine <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("a tenth waits longer than %s", nine))
		})
	}
}
