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

// versionWatcher polls the configuration version in force at each daemon and
// records when each version was first seen, and every decrease of the version.
type versionWatcher struct {
	mu          sync.Mutex
	firstSeen   map[int]map[uint64]time.Time // by process id and version; when the process first had this or a higher version
	regressions []string
	stop        chan struct{}
	running     sync.WaitGroup
}

const pollInterval = 10 * time.Millisecond

func watchVersions(f *fleet) *versionWatcher {
	v := &versionWatcher{firstSeen: map[int]map[uint64]time.Time{}, stop: make(chan struct{})}
	for _, d := range f.daemons {
		v.running.Go(func() { v.watch(d) })
	}
	f.c.Cleanup(v.end)
	return v
}

func (v *versionWatcher) watch(d *daemonProcess) {
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
		if before != pid { // a restarted process begins without a version
			highest, pid = 0, before
			v.firstSeen[pid] = map[uint64]time.Time{}
		}
		if version < highest {
			v.regressions = append(v.regressions, fmt.Sprintf("%s: %d after %d", d.name, version, highest))
		}
		for n := highest + 1; n <= version; n++ {
			v.firstSeen[pid][n] = time.Now()
		}
		highest = max(highest, version)
		v.mu.Unlock()
	}
}

func (v *versionWatcher) end() {
	select {
	case <-v.stop:
	default:
		close(v.stop)
	}
	v.running.Wait()
}

// assertInForce waits until the version is in force at all given daemons and
// returns the time from its acceptance until then. It fails the test if that is
// longer than the limit.
func (v *versionWatcher) assertInForce(c *qt.C, daemons []*daemonProcess, version uint64, accepted time.Time, limit time.Duration) time.Duration {
	c.Helper()
	last := accepted
	eventually(c, time.Until(accepted.Add(limit)), fmt.Sprintf("version %d in force", version), func() error {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, d := range daemons {
			at, ok := v.firstSeen[d.pid()][version]
			if !ok {
				return errors.Errorf("not in force at %s", d.name)
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

// assertNoRegression stops the polling and checks that no process went back to a
// lower version.
func (v *versionWatcher) assertNoRegression(c *qt.C) {
	v.end()
	c.Check(v.regressions, qt.HasLen, 0)
}

const (
	// inForceLimit is the longest time from the acceptance of a version until it
	// is in force at all daemons of a fleet of 9.
	inForceLimit = 2 * time.Second
	// inForceLimitAfterFailure replaces inForceLimit after a coordinator was killed
	// or a dependency or link was unavailable.
	inForceLimitAfterFailure = 10 * time.Second
)

// withShare returns a change that sets the share of the first account.
func withShare(share float64) func(config.Document) config.Document {
	return func(d config.Document) config.Document {
		a := d.Accounts[0]
		a.Share = share
		return d.WithAccount(a)
	}
}

// TestConfigurationInForce guards against accepted versions that come into force
// late or never, or are replaced by a lower one. Coordinators are killed while a
// version is being accepted, and restarted.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{domains: 3, daemons: 3, engines: 1})
	c, v := f.c, watchVersions(f)
	rows := [][]string{{"change", "in-force-ms"}}
	for i := range orShort(10, 3) {
		d := f.daemons[f.random.IntN(len(f.daemons))]
		version, accepted := f.submit(d, withShare(float64(2+i)))
		took := v.assertInForce(c, f.daemons, version, accepted, inForceLimit)
		rows = append(rows, []string{"through " + d.name, formatMilliseconds(took)})
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
		took := v.assertInForce(c, others, version, accepted, inForceLimitAfterFailure)
		rows = append(rows, []string{"coordinator killed", formatMilliseconds(took)})
		killed.start()
		restarted := time.Now()
		took = v.assertInForce(c, f.daemons, version, restarted, inForceLimitAfterFailure)
		rows = append(rows, []string{"coordinator restarted", formatMilliseconds(took)})
	}
	v.assertNoRegression(c)
	for _, r := range rows[1:] {
		c.Logf("%s: in force after %s ms", r[0], r[1])
	}
	writeCSV(c, "configuration", rows)
}
