package edge

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/setting"
	"rattanline.example/rattanline/standin"
)

// lostWrites is the number of writes that the store loses in the tests when it comes back from a copy.
const lostWrites = 12

// returnFrom lets the store be away for a moment and come back from the copy. What rewrite writes is
// there when the daemons can read the store again.
func (r *rig) returnFrom(c standin.MetadataCopy, rewrite func()) {
	r.t.Helper()
	qt.Assert(r.t, r.store.SetFault(standin.MetadataFault{Fault: standin.Fault{Outage: standin.OutageRefuse}}), qt.IsNil)
	time.Sleep(300 * time.Millisecond)
	r.store.Restore(c)
	rewrite()
	qt.Assert(r.t, r.store.SetFault(standin.MetadataFault{}), qt.IsNil)
}

// returningFleet is a fleet of three daemons whose store comes back from a copy that lacks the last
// lostWrites writes.
type returningFleet struct {
	*rig
	desk, other *targetServer
	routes      []route
	copied      standin.MetadataCopy
}

func newReturningFleet(t *testing.T) *returningFleet {
	t.Helper()
	r := &returningFleet{rig: newRig(t), routes: []route{plainRoute("/read/", "idempotent"), plainRoute("/keyed/", "idempotent").with("public", false)}}
	r.desk, r.other = r.serve("desk", "i-desk", nil), r.serve("desk", "i-other", nil)
	r.configureKeys([]string{apiKey, "other"}, r.routes...)
	for range 3 {
		r.start()
	}
	r.awaitReady(r.desk, r.other)
	r.copied = r.store.Copy()
	r.writeTargets(lostWrites - 1)
	r.configureKeys([]string{apiKey, "other"}, r.routes...)
	r.assertAll("has the lost writes", func(d *process) bool { return d.mirror.View().Index.Version() == uint64(r.version) })
	return r
}

func (r *returningFleet) writeTargets(count int) {
	for i := range count {
		r.list([]*targetServer{r.desk, r.other}[i%2], "ready")
	}
}

// assertAll waits until the condition holds for all daemons.
func (r *rig) assertAll(what string, condition func(*process) bool) {
	r.t.Helper()
	for _, d := range r.daemons {
		r.await(d.Settings.Name+": "+what, func() bool { return condition(d) })
	}
}

// changeAfterReturn lets the store come back and makes the change. Either the daemons read the store
// before that, and their watch is refused, or the store has given out as many revisions as it lost,
// so that it answers their watch.
func (r *returningFleet) changeAfterReturn(watchAnswered bool, change func()) {
	r.t.Helper()
	if watchAnswered {
		r.returnFrom(r.copied, func() {
			change()
			for range 2 * lostWrites {
				r.list(r.other, "ready")
			}
		})
		return
	}
	r.returnFrom(r.copied, func() {})
	r.assertAll("reaches the store", func(d *process) bool { return d.mirror.Connected() && d.mirrorAge() < time.Second })
	change()
}

// Guards against daemons that ignore all changes after the store came back from a copy, because its
// revisions are lower than those of the lost history: a key that was taken away is accepted, a route
// that was added gets 404, and a target that leaves gets requests.
func TestChangesAfterStoreReturns(t *testing.T) {
	for name, watchAnswered := range map[string]bool{"watch refused": false, "watch answered": true} {
		t.Run("key taken away, "+name, func(t *testing.T) {
			r := newReturningFleet(t)
			r.changeAfterReturn(watchAnswered, func() { r.configureKeys([]string{apiKey}, r.routes...) })
			r.assertAll("refuses the key", func(d *process) bool {
				return ask(t, d, "GET", "/keyed/", "", "Authorization", "Token other").status == 401
			})
			for _, d := range r.daemons {
				assertStatus(t, ask(t, d, "GET", "/keyed/", "", "Authorization", "Token "+apiKey), 200)
			}
		})
		t.Run("route added, "+name, func(t *testing.T) {
			r := newReturningFleet(t)
			r.changeAfterReturn(watchAnswered, func() { r.configure(append(r.routes, plainRoute("/added/", "idempotent"))...) })
			r.assertAll("serves the route", func(d *process) bool { return ask(t, d, "GET", "/added/", "").status == 200 })
		})
		t.Run("target leaves, "+name, func(t *testing.T) {
			r := newReturningFleet(t)
			r.changeAfterReturn(watchAnswered, func() { r.list(r.desk, "draining") })
			r.assertAll("uses only the other target", func(d *process) bool { return d.mirror.View().Targets[r.desk.id].Leaving })
			before := len(r.desk.requests())
			for _, d := range r.daemons {
				for range 10 {
					assertStatus(t, ask(t, d, "GET", "/read/", ""), 200)
				}
			}
			qt.Assert(t, r.desk.requests(), qt.HasLen, before)
		})
	}
}

// returnUnwritten lets the store come back from the copy, and waits until all daemons have read it. Its
// writers haven't written again what it lost.
func (r *returningFleet) returnUnwritten() {
	r.t.Helper()
	r.returnFrom(r.copied, func() {})
	era := port.Era(r.store.Era())
	r.assertAll("reads the returned store", func(d *process) bool { return d.mirror.View().Position.Era == era })
}

// assertUsed asks all daemons for a while, and checks that of the targets only the given ones get requests.
func (r *returningFleet) assertUsed(t *testing.T, used ...*targetServer) {
	t.Helper()
	unused := slices.DeleteFunc([]*targetServer{r.desk, r.other}, func(s *targetServer) bool { return slices.Contains(used, s) })
	before := map[string]int{}
	for _, s := range unused {
		before[s.id] = len(s.requests())
	}
	want := 200
	if len(used) == 0 {
		want = 503
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, d := range r.daemons {
			assertStatus(t, ask(t, d, "GET", "/read/", ""), want)
		}
	}
	for _, s := range unused {
		qt.Assert(t, s.requests(), qt.HasLen, before[s.id], qt.Commentf("%s", s.id))
	}
}

// Guards against daemons that go back to what the store holds right after its return from a copy: requests
// to a target that leaves or has left, or into an evacuated failure domain, and 503 because newer targets
// are missing.
func TestOlderContentAfterReturn(t *testing.T) {
	t.Run("target leaves", func(t *testing.T) {
		r := newReturningFleet(t)
		r.list(r.desk, "draining")
		r.assertAll("knows that the target leaves", func(d *process) bool { return d.mirror.View().Targets[r.desk.id].Leaving })
		r.returnUnwritten()
		r.assertUsed(t, r.other)
		r.list(r.desk, "draining")
		r.assertUsed(t, r.other)
	})
	t.Run("target has left", func(t *testing.T) {
		r := newReturningFleet(t)
		r.list(r.desk, "draining")
		r.store.Remove("servers/" + r.desk.id)
		r.assertAll("knows that the target is gone", func(d *process) bool { return d.mirror.View().Targets[r.desk.id].Removed != 0 })
		r.returnUnwritten()
		r.assertUsed(t, r.other)
	})
	t.Run("failure domain evacuated", func(t *testing.T) {
		r := newReturningFleet(t)
		r.store.Put("op/evacuate/zone-a", "{}")
		r.assertAll("knows the evacuation", func(d *process) bool { return d.mirror.View().Evacuated["zone-a"] })
		r.returnUnwritten()
		r.assertUsed(t)
		r.store.Put("op/evacuate/zone-a", "{}")
		r.assertUsed(t)
	})
	t.Run("targets replaced", func(t *testing.T) {
		r := newReturningFleet(t)
		added := r.serve("desk", "i-added", nil)
		r.store.Remove("servers/" + r.desk.id)
		r.store.Remove("servers/" + r.other.id)
		r.assertAll("knows the new target", func(d *process) bool {
			return d.mirror.View().Targets[r.other.id].Removed != 0 && d.table.Known(added.id)
		})
		time.Sleep(1200 * time.Millisecond) // targets whose entries were removed are used a little longer
		r.returnUnwritten()
		r.assertUsed(t, added)
	})
	t.Run("not written again", func(t *testing.T) {
		r := newReturningFleet(t)
		added := r.serve("desk", "i-added", nil)
		r.store.Put("op/evacuate/zone-b", "{}")
		r.assertAll("knows both", func(d *process) bool { return d.table.Known(added.id) && d.mirror.View().Evacuated["zone-b"] })
		r.returnUnwritten()
		r.assertAll("follows the store in the end", func(d *process) bool {
			v := d.mirror.View()
			return v.Targets[added.id].Removed != 0 && !v.Evacuated["zone-b"]
		})
	})
}

// Guards against a daemon that starts while the returned store shows older content and acts by it: it
// accepts a key that was taken away, answers 404 to a route that was added, and sends to a target that
// leaves.
func TestStartWhileStoreShowsOlderContent(t *testing.T) {
	r := newReturningFleet(t)
	r.configureKeys([]string{apiKey}, append(r.routes, plainRoute("/added/", "idempotent"))...)
	r.list(r.desk, "draining")
	r.assertAll("has the changes", func(d *process) bool {
		v := d.mirror.View()
		return v.Index.Version() == uint64(r.version) && v.Targets[r.desk.id].Leaving
	})
	r.returnUnwritten()
	before := len(r.desk.requests())
	started := r.start(func(s *setting.HostSettings) { s.Seeds = []string{r.daemons[0].Settings.LinkAddress} })
	served := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		key, added := ask(t, started, "GET", "/keyed/", "", "Authorization", "Token other"), ask(t, started, "GET", "/added/", "")
		qt.Assert(t, key.status, qt.Not(qt.Equals), 200, qt.Commentf("%s", key.body))
		qt.Assert(t, added.status, qt.Not(qt.Equals), 404, qt.Commentf("%s", added.body))
		if added.status == 200 {
			served++
		}
	}
	qt.Check(t, served > 0, qt.IsTrue)
	qt.Check(t, r.desk.requests(), qt.HasLen, before)
}

// Guards against daemons whose entries are missing for the rest of their runs after the store came back
// from a copy, because it gave their leases' ids out again, so that they renew leases of others; and
// against daemons that end such a lease when they stop.
func TestLeasesGivenOutAgain(t *testing.T) {
	r := newRig(t)
	copied := r.store.Copy()
	for range 3 {
		r.start()
	}
	client := platform.NewStore(r.address)
	listed := func(d *process) bool {
		e, err := client.Get(t.Context(), mirror.MemberPrefix+d.Settings.Name)
		return err == nil && e.Revision != 0
	}
	r.assertAll("is listed", listed)
	var others []int64
	r.returnFrom(copied, func() {})
	for range lostWrites {
		id, err := client.GrantLease(t.Context(), time.Minute)
		qt.Assert(t, err, qt.IsNil)
		others = append(others, id)
	}
	r.assertAll("is listed again", listed)
	for _, d := range r.daemons {
		d.stop()
		<-d.done
	}
	for _, id := range others {
		left, err := client.RenewLease(t.Context(), id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, left > 0, qt.IsTrue, qt.Commentf("lease %d was ended by a daemon", id))
	}
}
