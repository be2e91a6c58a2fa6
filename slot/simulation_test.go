package slot_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/slot"
	"rattanline.example/rattanline/usage"
)

const (
	target   = "target"
	maxSlots = 4
	// longestRequest is shorter than the orphan time less the slot lease, so that a
	// request on a slot of a silent holder ends before the slot is granted again.
	longestRequest = 6 * time.Second
	timeStep       = 10 * time.Millisecond
)

var (
	times = slot.Times{
		SlotLease: 3 * time.Second, OwnerLease: 3 * time.Second, OrphanTime: 10 * time.Second,
		LongestRequest: 20 * time.Second, ChargeTime: time.Second / 2,
	}
	epoch      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	onlyTarget = config.Target{Name: target, Service: "s", MaxLimit: maxSlots, ColdLimit: 1}
	noneClosed = func(config.Target) bool { return false }
)

// stubLimit is a Limit whose values the test sets.
type stubLimit struct {
	limit       int
	ramping     bool
	ejected     bool
	incarnation string
}

func (f *stubLimit) Limit() int                           { return f.limit }
func (f *stubLimit) Ramping() bool                        { return f.ramping }
func (f *stubLimit) Ejected(time.Time) bool               { return f.ejected }
func (f *stubLimit) Observe(time.Time, limit.Observation) {}
func (f *stubLimit) Report(time.Time, limit.Load)         {}
func (f *stubLimit) Incarnation() string                  { return f.incarnation }
func (f *stubLimit) Configure(_, maximum int)             { f.limit = min(f.limit, maximum) }

func (f *stubLimit) Adopt(incarnation string, l int, ramping bool) {
	f.incarnation, f.limit, f.ramping = incarnation, l, ramping
}

func newOwner(name string, f *stubLimit, counter func(service, account string) float64) *slot.Owner {
	return &slot.Owner{
		Self: usage.Source{Daemon: name, Incarnation: "1"}, Times: times,
		NewLimit:     func(config.Target) slot.Limit { return f },
		Counter:      counter,
		ExpectedCost: func(string, string) float64 { return 1 },
	}
}

// daemon is a simulated holder with requests in flight.
type daemon struct {
	holder      *slot.Holder
	incarnation int
	owner       int // index of the current owner in this daemon's view
	switchAt    time.Time
	nextRenewal time.Time
	cutUntil    time.Time
	running     map[slot.Slot]time.Time
}

// message is a message in flight to an owner or a holder.
type message struct {
	at      time.Time
	from    int // index of the sending owner, or -1
	owner   int // index of the receiving owner, or -1
	deliver func()
}

// simulation has one target, two daemons that own it in turn, and three holders.
// Unless reliable is set, messages are lost, repeated and reordered.
type simulation struct {
	t              *rapid.T
	now            time.Time
	owners         []*slot.Owner
	frozenUntil    []time.Time // time until which each owner is paused
	owner          int         // index of the owner according to the coordinator
	moveAt         time.Time   // when ownership moves, zero if it doesn't
	ownershipMoves int
	daemons        []*daemon
	messages       []message
	reliable       bool
	split          bool // both daemons own the target, each with a share of the limit
	lastReport     time.Time
	served         map[string]float64 // by account; each holder has its own
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: epoch, frozenUntil: make([]time.Time, 2), served: map[string]float64{}}
	for i := range 2 {
		w.owners = append(w.owners, newOwner(fmt.Sprint("owner-", i), &stubLimit{limit: maxSlots}, func(_, account string) float64 { return w.served[account] }))
	}
	for i := range 3 {
		w.daemons = append(w.daemons, &daemon{})
		w.restartHolder(i)
	}
	return w
}

// restartHolder replaces a holder by a new incarnation without requests.
func (w *simulation) restartHolder(i int) {
	d := w.daemons[i]
	d.incarnation++
	self := usage.Source{Daemon: fmt.Sprint("holder-", i), Incarnation: fmt.Sprint(d.incarnation)}
	d.running, d.nextRenewal = map[slot.Slot]time.Time{}, w.now
	d.holder = &slot.Holder{Self: self, Address: fmt.Sprint(i), Times: times, Owner: func(string) (usage.Source, bool) {
		return w.owners[d.owner].Self, true
	}}
}

// transmit schedules the delivery of a message, with loss, repetition and delay
// unless the simulation is reliable.
func (w *simulation) transmit(from, owner int, deliver func()) {
	copies := 1
	if !w.reliable {
		copies = rapid.SampledFrom([]int{1, 1, 1, 1, 1, 0, 2}).Draw(w.t, "copies")
	}
	for range copies {
		delay := 5
		if !w.reliable {
			delay = rapid.SampledFrom([]int{5, 5, 5, 10, 200, 900}).Draw(w.t, "delay")
		}
		w.messages = append(w.messages, message{at: w.now.Add(time.Duration(delay) * time.Millisecond), from: from, owner: owner, deliver: deliver})
	}
}

func (w *simulation) renew(d *daemon) {
	if w.now.Before(d.cutUntil) {
		return
	}
	source, account := w.owners[d.owner].Self, d.holder.Self.Daemon
	r := d.holder.Renewal(w.now, source, time.Second)
	r.Demands = []slot.Demand{{Service: "s", Accounts: []string{account}, Counts: []int{slot.MaxDemandCount}}}
	sent, index, holder := w.now, d.owner, d.holder
	d.nextRenewal = w.now.Add(time.Second)
	w.transmit(-1, index, func() {
		reply, err := w.owners[index].Renew(w.now, r)
		if err != nil {
			return
		}
		w.transmit(index, -1, func() { holder.HandleReply(w.now, source, r, sent, reply) })
	})
}

// advance runs the simulation for the given duration and checks the limit after
// each step.
func (w *simulation) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(timeStep)
		w.authorize()
		w.deliver()
		for _, d := range w.daemons {
			w.stepDaemon(d)
		}
		for i, o := range w.owners {
			if w.frozenUntil[i].After(w.now) {
				continue
			}
			o.Reconcile(w.now)
			for _, p := range o.Pushes() {
				w.push(i, p)
			}
		}
		w.assertLimit()
	}
}

func (w *simulation) push(from int, p slot.Push) {
	for _, d := range w.daemons {
		if d.holder.Self == p.Holder {
			holder := d.holder
			w.transmit(from, -1, func() { holder.HandleGrant(w.now, p.Grant) })
		}
	}
}

// authorize acts as the coordinator and as the target. It moves ownership when due,
// an owner lease after the owner was frozen, sets the authority of the owners, and
// sends load reports.
func (w *simulation) authorize() {
	if !w.moveAt.IsZero() && !w.now.Before(w.moveAt) {
		w.owner, w.moveAt = 1-w.owner, time.Time{}
		w.ownershipMoves++
		for i, d := range w.daemons {
			d.switchAt = w.now.Add(time.Duration(100*i) * time.Millisecond)
		}
	}
	report := w.now.Sub(w.lastReport) >= time.Second
	for i, o := range w.owners {
		if w.frozenUntil[i].After(w.now) {
			continue
		}
		valid := i == w.owner || w.split
		o.Authorize(w.now, w.share(i), valid)
		if valid {
			o.SetTargets(w.now, []config.Target{onlyTarget}, noneClosed)
		}
		if report {
			w.lastReport = w.now
			o.Report(w.now, target, limit.Load{Running: w.running()})
		}
	}
}

func (w *simulation) share(owner int) member.Share {
	if !w.split {
		return member.Share{}
	}
	return member.Share{Leases: 2 - owner, Counted: 3}
}

func (w *simulation) running() int {
	running := 0
	for _, d := range w.daemons {
		running += len(d.running)
	}
	return running
}

func (w *simulation) deliver() {
	due := slices.Clone(w.messages)
	w.messages = w.messages[:0]
	for _, m := range due {
		switch {
		case m.at.After(w.now):
			w.messages = append(w.messages, m)
		case m.owner >= 0 && w.frozenUntil[m.owner].After(w.now):
			m.at = w.frozenUntil[m.owner]
			w.messages = append(w.messages, m)
		default:
			m.deliver()
		}
	}
}

func (w *simulation) stepDaemon(d *daemon) {
	if !d.switchAt.IsZero() && !w.now.Before(d.switchAt) {
		d.owner, d.switchAt = w.owner, time.Time{}
	}
	for _, s := range slices.SortedFunc(maps.Keys(d.running), func(x, y slot.Slot) int { return cmp.Compare(fmt.Sprint(x), fmt.Sprint(y)) }) {
		if !w.now.Before(d.running[s]) {
			delete(d.running, s)
			d.holder.End(w.now, s)
			if rapid.Bool().Draw(w.t, "return") {
				d.holder.Return(w.now, s)
				w.renew(d)
			}
		}
	}
	if s, free := d.holder.Free(w.now, target); free > 0 && !w.reliable {
		d.holder.Start(s)
		w.served[d.holder.Self.Daemon]++
		d.running[s] = w.now.Add(time.Duration(rapid.IntRange(10, int(longestRequest/time.Millisecond)).Draw(w.t, "run")) * time.Millisecond)
	}
	d.holder.Prune(w.now)
	if !w.now.Before(d.nextRenewal) {
		w.renew(d)
	}
}

func (w *simulation) assertLimit() {
	if running := w.running(); running > maxSlots {
		w.t.Fatalf("%d requests in flight at %s, limit %d", running, w.now.Sub(epoch), maxSlots)
	}
}

// TestFaultsProperty guards against more requests in flight than the limit, and
// against slots that stay unusable. Messages are lost, repeated and reordered,
// holders are killed, disconnected and return slots, and the owner is frozen past
// its lease, replaced and resumed.
func TestFaultsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.advance(6200 * time.Millisecond)
		for range rapid.IntRange(3, 12).Draw(t, "faults") {
			w.injectFault(4)
			w.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "time")) * time.Millisecond)
		}
		w.reliable = true
		w.advance(35 * time.Second)
		held := 0
		for _, d := range w.daemons {
			_, free := d.holder.Free(w.now, target)
			held += free
		}
		if held != maxSlots {
			t.Fatalf("%d of %d slots usable long after the last fault", held, maxSlots)
		}
	})
}

// TestSplitProperty guards against two owners of a split domain that together
// grant more than the limit, while requests that began before the split still run.
func TestSplitProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.advance(time.Duration(rapid.IntRange(6200, 9000).Draw(t, "before")) * time.Millisecond)
		w.split = true
		w.daemons[2].owner = 1
		for range rapid.IntRange(3, 8).Draw(t, "faults") {
			w.injectFault(3)
			w.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "time")) * time.Millisecond)
		}
		w.reliable = true
		w.advance(35 * time.Second)
		for i, want := range []int{3, 1} {
			if slots, _ := w.owners[i].Occupancy(target); slots != want {
				t.Fatalf("owner %d has granted %d slots, its share is %d", i, slots, want)
			}
		}
	})
}

func (w *simulation) injectFault(kinds int) {
	d := w.daemons[rapid.IntRange(0, 2).Draw(w.t, "daemon")]
	switch rapid.IntRange(0, kinds).Draw(w.t, "fault") {
	case 0: // kill and restart the holder
		for i := range w.daemons {
			if w.daemons[i] == d {
				w.restartHolder(i)
			}
		}
	case 1: // disconnect the holder
		d.cutUntil = w.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(w.t, "cut")) * time.Second)
	case 2: // return idle slots
		d.holder.ReturnIdle(w.now, target, 0)
		w.renew(d)
	case 3: // renew early
		w.renew(d)
	case 4: // freeze the owner; ownership moves if that outlasts its lease
		if w.moveAt.IsZero() && !w.frozenUntil[w.owner].After(w.now) {
			pause := time.Duration(rapid.IntRange(1, 20).Draw(w.t, "pause")) * time.Second
			w.frozenUntil[w.owner] = w.now.Add(pause)
			w.delaySent(w.owner)
			if pause > times.OwnerLease {
				w.moveAt = w.now.Add(times.OwnerLease)
			}
		}
	}
}

// delaySent delays some of the messages in flight from a frozen owner until it
// resumes, as if it had not sent them yet.
func (w *simulation) delaySent(owner int) {
	for i := range w.messages {
		if w.messages[i].from == owner && rapid.Bool().Draw(w.t, "held") {
			w.messages[i].at = w.frozenUntil[owner]
		}
	}
}
