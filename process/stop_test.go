package process

import (
	"testing"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/standin"
)

func milliseconds(n int) config.Duration { return config.Duration(time.Duration(n) * time.Millisecond) }

// smallEngine returns options of an engine that, once warm, completes 20 tokens in
// about 126 ms. The time to the first token is 50 ms, so that scheduling delays on
// a busy host do not look like a saturated engine.
func smallEngine(capacity int) standin.EngineOptions {
	return standin.EngineOptions{
		TargetOptions: standin.TargetOptions{Capacity: capacity, ColdLimit: 2, WarmUp: milliseconds(500)},
		PromptTime:    milliseconds(50), TokenTime: milliseconds(4),
	}
}

func smallService(capacity, work int) standin.ServiceOptions {
	return standin.ServiceOptions{
		TargetOptions:  standin.TargetOptions{Capacity: capacity, ColdLimit: 2, WarmUp: milliseconds(500)},
		ProcessingTime: milliseconds(work),
	}
}

const (
	stopTimeout  = 30 * time.Second
	readyTimeout = 25 * time.Second
)

// TestRollingStop guards against requests that are interrupted when daemons are
// stopped gracefully and restarted one after another under load.
func TestRollingStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{
		domains: 3, daemons: 2, engines: 1, services: 1, engine: smallEngine(8), service: smallService(8, 10),
	})
	began := time.Now()
	l := f.startLoad(18, mixedRequest)
	rows := [][]string{{"daemon", "stop-ms"}}
	for _, d := range f.daemons[:orShort(len(f.daemons), 2)] {
		time.Sleep(500 * time.Millisecond)
		took := d.stop(stopTimeout)
		t.Logf("%s stopped after %s", d.name, took.Round(time.Millisecond))
		rows = append(rows, []string{d.name, formatMilliseconds(took)})
		d.start()
		d.awaitReady(readyTimeout)
	}
	time.Sleep(500 * time.Millisecond)
	l.assertUninterrupted(f.c)
	w := waitTimes(l.endedBetween(began, time.Now()))
	t.Logf("wait p50 %s, p95 %s, longest %s", percentile(w, 0.5), percentile(w, 0.95), percentile(w, 1))
	l.writeSeries(f.c, "rolling-stop-series", began, 250*time.Millisecond)
	writeCSV(f.c, "rolling-stop", rows)
}
