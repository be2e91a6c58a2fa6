package process

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/standin"
)

// owner returns the daemon that granted the most slots lately.
func (f *fleet) owner() *daemonProcess {
	f.c.Helper()
	var found *daemonProcess
	eventually(f.c, 20*time.Second, "owner", func() error {
		most, before := 0.0, map[*daemonProcess]float64{}
		for _, d := range f.daemons {
			before[d] = d.metric("rattanline_slots_granted_total")
		}
		time.Sleep(500 * time.Millisecond)
		for _, d := range f.daemons {
			if n := d.metric("rattanline_slots_granted_total") - before[d]; n > most {
				found, most = d, n
			}
		}
		if found == nil {
			return errors.New("no daemon grants slots")
		}
		return nil
	})
	return found
}

// coldFleet is a fleet with one target that is warm and in use. It restarts for
// a moment after each crash, as real ones do.
//
// A holder whose request broke knows of the crash. One that had none in flight
// can't know before its owner tells it or its next request fails; a target that
// is back within that time can get what such holders still send. The load keeps
// all slots busy, so that every holder sees the crash.
func coldFleet(t *testing.T) (*fleet, *standin.Engine) {
	engine := smallEngine(8)
	engine.WarmUp, engine.RestartTime = milliseconds(3000), milliseconds(300)
	f := startFleet(t, options{domains: 1, daemons: 3, engines: 1, engine: engine})
	f.startLoad(24, func(w, n int) call { return completion(fmt.Sprintf("worker %d request %d", w, n), 20, true) })
	e := f.engines[domainName(0)+"-engine-0"]
	f.awaitInFlight(e, 4)
	f.assertColdLimit(e, "start")
	return f, e
}

func (f *fleet) crash(e *standin.Engine) {
	fault := e.Fault()
	fault.Crash = true
	f.c.Check(e.SetFault(fault), qt.IsNil)
}

// TestColdLimit guards against more work at a target that has just started than
// it can handle, also while the owner of its slots is gone.
func TestColdLimit(t *testing.T) {
	t.Parallel()
	f, e := coldFleet(t)
	f.crash(e)
	f.awaitInFlight(e, 4)
	f.assertColdLimit(e, "crash")

	f.owner().kill()
	time.Sleep(time.Second)
	f.crash(e)
	f.awaitInFlight(e, 4)
	f.assertColdLimit(e, "crash after the owner was killed")
}

// TestColdLimitOwnerFrozen guards against the same while the owner is frozen
// past its lease and after it resumes.
func TestColdLimitOwnerFrozen(t *testing.T) {
	t.Parallel()
	f, e := coldFleet(t)
	owner := f.owner()
	owner.freeze()
	time.Sleep(2 * time.Second)
	f.crash(e)
	time.Sleep(5 * time.Second) // past its lease
	f.assertColdLimit(e, "crash while the owner was frozen")
	owner.resume()
	f.awaitInFlight(e, 4)
	f.assertColdLimit(e, "after the owner resumed")
}

// awaitInFlight waits until the target is warm and in use again. Slots of a
// killed holder of a target that ramps up count as in use for minutes, so it
// isn't used in full.
func (f *fleet) awaitInFlight(e *standin.Engine, n int) {
	f.c.Helper()
	eventually(f.c, 40*time.Second, "target in use", func() error {
		if s := e.Stats(); s.InFlight < n || s.Cold {
			return errors.Errorf("%d in flight", s.InFlight)
		}
		return nil
	})
}

func (f *fleet) assertColdLimit(e *standin.Engine, what string) {
	f.c.Helper()
	s := e.Stats()
	f.c.Logf("%s: at most %d in flight while cold, %d requests beyond the cold limit, %d crashes", what, s.MaxInFlightCold, s.OverloadsCold, s.Crashes)
	f.c.Check(s.MaxInFlightCold <= 2, qt.IsTrue, qt.Commentf("%s: %d in flight while cold", what, s.MaxInFlightCold))
}
