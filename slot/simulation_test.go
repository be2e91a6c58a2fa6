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

func (s *stubLimit) Limit() int                           { return s.limit }
func (s *stubLimit) Ramping() bool                        { return s.ramping }
func (s *stubLimit) Ejected(time.Time) bool               { return s.ejected }
func (s *stubLimit) Observe(time.Time, limit.Observation) {}
func (s *stubLimit) Report(time.Time, limit.Load)         {}
func (s *stubLimit) Incarnation() string                  { return s.incarnation }
func (s *stubLimit) Configure(_, maximum int)             { s.limit = min(s.limit, maximum) }

func (s *stubLimit) Adopt(incarnation string, l int, ramping bool) {
	s.incarnation, s.limit, s.ramping = incarnation, l, ramping
}

func newOwner(name string, l *stubLimit, counter func(service, account string) float64) *slot.Owner {
	return &slot.Owner{
		Self: usage.Source{Daemon: name, Incarnation: "1"}, Times: times,
		NewLimit:     func(config.Target) slot.Limit { return l },
		Counter:      counter,
		ExpectedCost: func(string, string) float64 { return 1 },
	}
}

// daemon is a simulated holder with requests in flight.
type daemon struct {
	holder      *slot.Holder
	incarnation int
	owner       int       // index of the current owner in this daemon's view
	switchAt    time.Time // when this daemon's view of the owner changes, zero if it doesn't
	nextRenewal time.Time
	cutUntil    time.Time               // time until which no renewals are sent
	running     map[slot.Slot]time.Time // end of the request on each slot
}

// message is a message in flight to an owner or a holder.
type message struct {
	at      time.Time // when it is delivered
	from    int       // index of the sending owner, or -1
	owner   int       // index of the receiving owner, or -1
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
	s := &simulation{t: t, now: epoch, frozenUntil: make([]time.Time, 2), served: map[string]float64{}}
	for i := range 2 {
		s.owners = append(s.owners, newOwner(fmt.Sprint("owner-", i), &stubLimit{limit: maxSlots}, func(_, account string) float64 { return s.served[account] }))
	}
	for i := range 3 {
		s.daemons = append(s.daemons, &daemon{})
		s.restartHolder(i)
	}
	return s
}

// restartHolder replaces a holder by a new incarnation without requests.
func (s *simulation) restartHolder(i int) {
	d := s.daemons[i]
	d.incarnation++
	self := usage.Source{Daemon: fmt.Sprint("holder-", i), Incarnation: fmt.Sprint(d.incarnation)}
	d.running, d.nextRenewal = map[slot.Slot]time.Time{}, s.now
	d.holder = &slot.Holder{Self: self, Address: fmt.Sprint(i), Times: times, Owner: func(string) (usage.Source, bool) {
		return s.owners[d.owner].Self, true
	}}
}

// transmit schedules the delivery of a message, with loss, repetition and delay
// unless the simulation is reliable.
func (s *simulation) transmit(from, owner int, deliver func()) {
	copies := 1
	if !s.reliable {
		copies = rapid.SampledFrom([]int{1, 1, 1, 1, 1, 0, 2}).Draw(s.t, "copies")
	}
	for range copies {
		delay := 5
		if !s.reliable {
			delay = rapid.SampledFrom([]int{5, 5, 5, 10, 200, 900}).Draw(s.t, "delay")
		}
		s.messages = append(s.messages, message{at: s.now.Add(time.Duration(delay) * time.Millisecond), from: from, owner: owner, deliver: deliver})
	}
}

func (s *simulation) renew(d *daemon) {
	if s.now.Before(d.cutUntil) {
		return
	}
	source, account := s.owners[d.owner].Self, d.holder.Self.Daemon
	r := d.holder.Renewal(s.now, source, time.Second)
	r.Demands = []slot.Demand{{Service: "s", Accounts: []string{account}, Counts: []int{slot.MaxDemandCount}}}
	sent, index, holder := s.now, d.owner, d.holder
	d.nextRenewal = s.now.Add(time.Second)
	s.transmit(-1, index, func() {
		reply, err := s.owners[index].Renew(s.now, r)
		if err != nil {
			return
		}
		s.transmit(index, -1, func() { holder.HandleReply(s.now, source, r, sent, reply) })
	})
}

// advance runs the simulation for the given duration and checks the limit after
// each step.
func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(timeStep)
		s.authorize()
		s.deliver()
		for _, d := range s.daemons {
			s.stepDaemon(d)
		}
		for i, o := range s.owners {
			if s.frozenUntil[i].After(s.now) {
				continue
			}
			o.Reconcile(s.now)
			for _, p := range o.Pushes() {
				s.push(i, p)
			}
		}
		s.assertLimit()
	}
}

func (s *simulation) push(from int, p slot.Push) {
	for _, d := range s.daemons {
		if d.holder.Self == p.Holder {
			holder := d.holder
			s.transmit(from, -1, func() { holder.HandleGrant(s.now, p.Grant) })
		}
	}
}

// authorize acts as the coordinator and as the target. It moves ownership when due,
// an owner lease after the owner was frozen, sets the authority of the owners, and
// sends load reports.
func (s *simulation) authorize() {
	if !s.moveAt.IsZero() && !s.now.Before(s.moveAt) {
		s.owner, s.moveAt = 1-s.owner, time.Time{}
		s.ownershipMoves++
		for i, d := range s.daemons {
			d.switchAt = s.now.Add(time.Duration(100*i) * time.Millisecond)
		}
	}
	report := s.now.Sub(s.lastReport) >= time.Second
	for i, o := range s.owners {
		if s.frozenUntil[i].After(s.now) {
			continue
		}
		valid := i == s.owner || s.split
		o.Authorize(s.now, s.share(i), valid)
		if valid {
			o.SetTargets(s.now, []config.Target{onlyTarget}, noneClosed)
		}
		if report {
			s.lastReport = s.now
			o.Report(s.now, target, limit.Load{Running: s.running()})
		}
	}
}

func (s *simulation) share(owner int) member.Share {
	if !s.split {
		return member.Share{}
	}
	return member.Share{Leases: 2 - owner, Counted: 3}
}

func (s *simulation) running() int {
	running := 0
	for _, d := range s.daemons {
		running += len(d.running)
	}
	return running
}

func (s *simulation) deliver() {
	due := slices.Clone(s.messages)
	s.messages = s.messages[:0]
	for _, m := range due {
		switch {
		case m.at.After(s.now):
			s.messages = append(s.messages, m)
		case m.owner >= 0 && s.frozenUntil[m.owner].After(s.now):
			m.at = s.frozenUntil[m.owner]
			s.messages = append(s.messages, m)
		default:
			m.deliver()
		}
	}
}

func (s *simulation) stepDaemon(d *daemon) {
	if !d.switchAt.IsZero() && !s.now.Before(d.switchAt) {
		d.owner, d.switchAt = s.owner, time.Time{}
	}
	for _, ended := range slices.SortedFunc(maps.Keys(d.running), func(x, y slot.Slot) int { return cmp.Compare(fmt.Sprint(x), fmt.Sprint(y)) }) {
		if !s.now.Before(d.running[ended]) {
			delete(d.running, ended)
			d.holder.End(s.now, ended)
			if rapid.Bool().Draw(s.t, "return") {
				d.holder.Return(s.now, ended)
				s.renew(d)
			}
		}
	}
	if next, free := d.holder.Free(s.now, target); free > 0 && !s.reliable {
		d.holder.Start(next)
		s.served[d.holder.Self.Daemon]++
		d.running[next] = s.now.Add(time.Duration(rapid.IntRange(10, int(longestRequest/time.Millisecond)).Draw(s.t, "run")) * time.Millisecond)
	}
	d.holder.Prune(s.now)
	if !s.now.Before(d.nextRenewal) {
		s.renew(d)
	}
}

func (s *simulation) assertLimit() {
	if running := s.running(); running > maxSlots {
		s.t.Fatalf("%d requests in flight at %s, limit %d", running, s.now.Sub(epoch), maxSlots)
	}
}

// TestFaultsProperty guards against more requests in flight than the limit, and
// against slots that stay unusable. Messages are lost, repeated and reordered,
// holders are killed, disconnected and return slots, and the owner is frozen past
// its lease, replaced and resumed.
func TestFaultsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.advance(6200 * time.Millisecond)
		for range rapid.IntRange(3, 12).Draw(t, "faults") {
			s.injectFault(4)
			s.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "time")) * time.Millisecond)
		}
		s.reliable = true
		s.advance(35 * time.Second)
		held := 0
		for _, d := range s.daemons {
			_, free := d.holder.Free(s.now, target)
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
		s := newSimulation(t)
		s.advance(time.Duration(rapid.IntRange(6200, 9000).Draw(t, "before")) * time.Millisecond)
		s.split = true
		s.daemons[2].owner = 1
		for range rapid.IntRange(3, 8).Draw(t, "faults") {
			s.injectFault(3)
			s.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "time")) * time.Millisecond)
		}
		s.reliable = true
		s.advance(35 * time.Second)
		for i, want := range []int{3, 1} {
			if slots, _ := s.owners[i].Occupancy(target); slots != want {
				t.Fatalf("owner %d has granted %d slots, its share is %d", i, slots, want)
			}
		}
	})
}

// injectFault draws a daemon and one of the faults up to the given number, and
// applies the fault.
func (s *simulation) injectFault(highest int) {
	d := s.daemons[rapid.IntRange(0, 2).Draw(s.t, "daemon")]
	switch rapid.IntRange(0, highest).Draw(s.t, "fault") {
	case 0: // kill and restart the holder
		for i := range s.daemons {
			if s.daemons[i] == d {
				s.restartHolder(i)
			}
		}
	case 1: // disconnect the holder
		d.cutUntil = s.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(s.t, "cut")) * time.Second)
	case 2: // return idle slots
		d.holder.ReturnIdle(s.now, target, 0)
		s.renew(d)
	case 3: // renew early
		s.renew(d)
	case 4: // freeze the owner; ownership moves if that outlasts its lease
		if s.moveAt.IsZero() && !s.frozenUntil[s.owner].After(s.now) {
			pause := time.Duration(rapid.IntRange(1, 20).Draw(s.t, "pause")) * time.Second
			s.frozenUntil[s.owner] = s.now.Add(pause)
			s.delaySent(s.owner)
			if pause > times.OwnerLease {
				s.moveAt = s.now.Add(times.OwnerLease)
			}
		}
	}
}

// delaySent delays some of the messages in flight from a frozen owner until it
// resumes, as if it had not sent them yet.
func (s *simulation) delaySent(owner int) {
	for i := range s.messages {
		if s.messages[i].from == owner && rapid.Bool().Draw(s.t, "held") {
			s.messages[i].at = s.frozenUntil[owner]
		}
	}
}
