package process

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
)

// versions polls the version in force at each daemon.
type versions struct {
	mu      sync.Mutex
	reached map[int]map[uint64]time.Time // by process: first seen at this version or a higher one
	lowered []string
	stop    chan struct{}
	running sync.WaitGroup
}

const pollInterval = 10 * time.Millisecond

func watchVersions(f *fleet) *versions {
	v := &versions{reached: map[int]map[uint64]time.Time{}, stop: make(chan struct{})}
	for _, d := range f.daemons {
		v.running.Go(func() { v.watch(d) })
	}
	f.c.Cleanup(v.end)
	return v
}

func (v *versions) watch(d *daemonProcess) {
	highest, pid := uint64(0), 0
	for {
		select {
		case <-v.stop:
			return
		case <-time.After(pollInterval):
		}
		before := d.pid()
		version, err := d.version()
		if err != nil || before != d.pid() {
			continue
		}
		v.mu.Lock()
		if before != pid { // a new process begins without a version
			highest, pid = 0, before
			v.reached[pid] = map[uint64]time.Time{}
		}
		if version < highest {
			v.lowered = append(v.lowered, fmt.Sprintf("%s: %d after %d", d.name, version, highest))
		}
		for n := highest + 1; n <= version; n++ {
			v.reached[pid][n] = time.Now()
		}
		highest = max(highest, version)
		v.mu.Unlock()
	}
}

func (v *versions) end() {
	select {
	case <-v.stop:
	default:
		close(v.stop)
	}
	v.running.Wait()
}

// assertInForce waits until the daemons have the version and returns how long
// after its acceptance the last one had it.
func (v *versions) assertInForce(c *qt.C, daemons []*daemonProcess, version uint64, accepted time.Time, limit time.Duration) time.Duration {
	c.Helper()
	last := accepted
	eventually(c, time.Until(accepted.Add(limit)), fmt.Sprintf("version %d in force", version), func() error {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, d := range daemons {
			at, ok := v.reached[d.pid()][version]
			if !ok {
				return errors.Errorf("not at %s", d.name)
			}
			if at.After(last) {
				last = at
			}
		}
		return nil
	})
	c.Check(last.Sub(accepted) <= limit, qt.IsTrue, qt.Commentf("in force after %s", last.Sub(accepted)))
	return last.Sub(accepted)
}

func (v *versions) assertNeverLowered(c *qt.C) {
	v.end()
	c.Check(v.lowered, qt.HasLen, 0)
}

// The aims for a configuration that was accepted, with 9 processes.
const (
	inForceLimit           = 2 * time.Second
	inForceLimitWithKilled = 10 * time.Second
)

func withShare(share float64) func(config.Document) config.Document {
	return func(d config.Document) config.Document {
		a := d.Accounts[0]
		a.Share = share
		return d.WithAccount(a)
	}
}

// TestConfigurationInForce guards against accepted versions that arrive late,
// not at all, or are replaced by a lower one.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{domains: 3, daemons: 3, engines: 1})
	c, v := f.c, watchVersions(f)
	rows := [][]string{{"change", "in-force-ms"}}
	for i := range orShort(10, 3) {
		d := f.daemons[f.random.IntN(len(f.daemons))]
		version, accepted := f.submit(d, withShare(float64(2+i)))
		took := v.assertInForce(c, f.daemons, version, accepted, inForceLimit)
		rows = append(rows, []string{"through " + d.name, ms(took)})
	}
	for i := range orShort(2, 1) {
		killed := f.coordinator(domainName(i))
		var others []*daemonProcess
		for _, d := range f.daemons {
			if d != killed {
				others = append(others, d)
			}
		}
		var wait sync.WaitGroup
		pause := time.Duration(f.random.IntN(20)) * time.Millisecond
		wait.Go(func() { time.Sleep(pause); killed.kill() })
		version, accepted := f.submit(others[f.random.IntN(len(others))], withShare(float64(20+i)))
		wait.Wait()
		took := v.assertInForce(c, others, version, accepted, inForceLimitWithKilled)
		rows = append(rows, []string{"coordinator killed", ms(took)})
		killed.start()
		restarted := time.Now()
		took = v.assertInForce(c, f.daemons, version, restarted, inForceLimitWithKilled)
		rows = append(rows, []string{"coordinator restarted", ms(took)})
	}
	v.assertNeverLowered(c)
	for _, r := range rows[1:] {
		c.Logf("%s: in force after %s ms", r[0], r[1])
	}
	writeCSV(c, "configuration", rows)
}
