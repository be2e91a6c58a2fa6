package slot

import (
	"maps"
	"slices"
	"time"

	"rattanline.example/rattanline/usage"
)

// returnRetention is how long the holder keeps a record of each returned slot.
// Afterwards it refuses all slots of that owner up to the returned slot's number.
// A grant is only delayed for longer if its owner was paused.
const returnRetention = 30 * time.Second

// heldSlot is the holder's record of a slot.
type heldSlot struct {
	slot       Slot
	busy       bool
	recalled   bool
	unreported bool // no full renewal has listed the slot yet
	expires    time.Time
	idleSince  time.Time
}

// ownerState is the holder's record of one owner.
type ownerState struct {
	ackedSequence uint64          // sequence number of the newest answered renewal
	leaseStart    time.Time       // send time of the newest answered full renewal
	returned      map[Slot]uint64 // sequence number of the renewal that reported the return, 0 if unsent
	refusedUpTo   uint64          // grants up to this slot number are refused
}

// Holder manages the slots that this daemon may use: their leases, their use by
// requests and their return. It is not safe for concurrent use.
type Holder struct {
	Self    usage.Source
	Address string
	Times   Times
	// Owner returns the current owner of a target.
	Owner func(target string) (usage.Source, bool)

	firstRenewal time.Time
	sequence     uint64
	slots        map[string]map[Slot]*heldSlot
	owners       map[usage.Source]*ownerState
	// returned has the time of each recent return, so that a late grant of the
	// slot is refused.
	returned map[Slot]time.Time
	// frozen has the frozen targets and the last sequence number before each
	// was frozen.
	frozen map[string]uint64
	states map[string]TargetState
}

// owner returns the record of an owner, which it adds if there is none. The first
// call also allocates the maps of the holder, so methods that write to them call
// owner first.
func (h *Holder) owner(source usage.Source) *ownerState {
	if h.owners == nil {
		h.owners = map[usage.Source]*ownerState{}
		h.slots = map[string]map[Slot]*heldSlot{}
		h.returned = map[Slot]time.Time{}
		h.frozen = map[string]uint64{}
		h.states = map[string]TargetState{}
	}
	if h.owners[source] == nil {
		h.owners[source] = &ownerState{returned: map[Slot]uint64{}}
	}
	return h.owners[source]
}

// Free returns the lowest slot of the target on which a request may start now,
// and the number of such slots.
func (h *Holder) Free(now time.Time, target string) (Slot, int) {
	var first Slot
	if _, frozen := h.frozen[target]; frozen {
		return first, 0
	}
	count := 0
	for s, e := range h.slots[target] {
		if e.busy || e.recalled || !now.Before(e.expires) {
			continue
		}
		if count == 0 || compareSlots(s, first) < 0 {
			first = s
		}
		count++
	}
	return first, count
}

// Count returns the number of held slots of the target and how many are busy.
func (h *Holder) Count(target string) (total, busy int) {
	for _, e := range h.slots[target] {
		if e.busy {
			busy++
		}
	}
	return len(h.slots[target]), busy
}

// Targets returns the targets at which slots are held, sorted by name.
func (h *Holder) Targets() []string {
	return slices.Sorted(maps.Keys(h.slots))
}

// Idle reports whether the slot is held and not in use by a request.
func (h *Holder) Idle(s Slot) bool {
	e := h.slots[s.Target][s]
	return e != nil && !e.busy
}

// State returns the last state of the target that an owner reported, the zero
// value if there is none.
func (h *Holder) State(target string) TargetState { return h.states[target] }

// Leased reports whether the slot is held and its lease is valid.
func (h *Holder) Leased(now time.Time, s Slot) bool {
	e := h.slots[s.Target][s]
	return e != nil && now.Before(e.expires)
}

// Start marks the slot as in use by a request.
func (h *Holder) Start(s Slot) {
	if e := h.slots[s.Target][s]; e != nil {
		e.busy = true
	}
}

// End marks the slot as idle and returns it if it was recalled.
func (h *Holder) End(now time.Time, s Slot) {
	e := h.slots[s.Target][s]
	if e == nil {
		return
	}
	e.busy, e.idleSince = false, now
	if e.recalled {
		h.Return(now, s)
	}
}

// Return removes an idle slot and lists it as returned in the next renewal. It
// does nothing if the slot is busy.
func (h *Holder) Return(now time.Time, s Slot) {
	if e := h.slots[s.Target][s]; e != nil && e.busy {
		return
	}
	h.remove(s)
	h.refuse(now, s)
}

// refuse schedules a report to the target's owner that the slot is not held.
func (h *Holder) refuse(now time.Time, s Slot) {
	source, ok := h.Owner(s.Target)
	if !ok {
		source = s.Owner
	}
	h.owner(source).returned[s] = 0
	h.returned[s] = now
}

func (h *Holder) remove(s Slot) {
	delete(h.slots[s.Target], s)
	if len(h.slots[s.Target]) == 0 {
		delete(h.slots, s.Target)
	}
}

// ReturnIdle returns to their owner all slots of a target that have been idle for
// at least the given duration. The result is the number of these slots.
func (h *Holder) ReturnIdle(now time.Time, target string, after time.Duration) int {
	count := 0
	for s, e := range h.slots[target] {
		if !e.busy && now.Sub(e.idleSince) >= after {
			h.Return(now, s)
			count++
		}
	}
	return count
}

// Freeze stops new work at a target that crashed or runs as a new incarnation,
// since its limit may have fallen. The freeze lasts until the owner has answered
// a later renewal that carried the observation of the crash or incarnation.
func (h *Holder) Freeze(target string) {
	h.owner(h.Self) // allocates the maps
	h.frozen[target] = h.sequence
}

// Owners returns the owners of the targets at which slots are held, and those
// with unacknowledged returns, sorted.
func (h *Holder) Owners() []usage.Source {
	found := map[usage.Source]bool{}
	for target := range h.slots {
		if source, ok := h.Owner(target); ok {
			found[source] = true
		}
	}
	for source, o := range h.owners {
		if len(o.returned) > 0 {
			found[source] = true
		}
	}
	return slices.SortedFunc(maps.Keys(found), compareSources)
}

// HasUnsentReturns reports whether a slot was returned to the owner that no
// renewal has listed yet.
func (h *Holder) HasUnsentReturns(source usage.Source) bool {
	if o := h.owners[source]; o != nil {
		for _, sequence := range o.returned {
			if sequence == 0 {
				return true
			}
		}
	}
	return false
}

func compareSources(x, y usage.Source) int {
	switch {
	case x.Daemon < y.Daemon, x.Daemon == y.Daemon && x.Incarnation < y.Incarnation:
		return -1
	case x == y:
		return 0
	default:
		return 1
	}
}

// HandleGrant processes slots and recalls that an owner pushed.
func (h *Holder) HandleGrant(now time.Time, g Grant) {
	h.setStates(g.States)
	for _, s := range g.Slots {
		h.accept(now, g.Owner, s)
	}
	for _, s := range g.Recalled {
		h.recall(now, s)
	}
}

func (h *Holder) setStates(states []TargetState) {
	h.owner(h.Self) // allocates the maps
	for _, s := range states {
		h.states[s.Target] = s
	}
}

// accept adds a granted slot. Its lease counts from the last full renewal that
// the owner answered. A slot that was returned before, or that its target's
// current owner didn't grant, is refused.
func (h *Holder) accept(now time.Time, source usage.Source, s Slot) {
	o := h.owner(source)
	if h.slots[s.Target][s] != nil {
		return
	}
	_, returned := h.returned[s]
	current, ok := h.Owner(s.Target)
	if returned || s.Number <= h.owner(s.Owner).refusedUpTo || !ok || current != source {
		h.refuse(now, s)
		return
	}
	if h.slots[s.Target] == nil {
		h.slots[s.Target] = map[Slot]*heldSlot{}
	}
	h.slots[s.Target][s] = &heldSlot{slot: s, unreported: true, idleSince: now, expires: o.leaseStart.Add(h.Times.SlotLease)}
}

// recall returns a slot as soon as it is idle. A slot that is not held is
// refused, so that its owner need not wait for it.
func (h *Holder) recall(now time.Time, s Slot) {
	e := h.slots[s.Target][s]
	switch {
	case e == nil:
		h.refuse(now, s)
	case e.busy:
		e.recalled = true
	default:
		h.Return(now, s)
	}
}

// Prune removes slots that have been idle for more than two lease durations and
// whose lease expired more than two lease durations ago. It removes the records of
// returned slots after the retention period.
func (h *Holder) Prune(now time.Time) {
	for _, target := range h.Targets() {
		for s, e := range h.slots[target] {
			if !e.busy && now.Sub(e.expires) > 2*h.Times.SlotLease && now.Sub(e.idleSince) > 2*h.Times.SlotLease {
				h.remove(s)
			}
		}
	}
	for s, at := range h.returned {
		if now.Sub(at) > returnRetention {
			o := h.owner(s.Owner)
			o.refusedUpTo = max(o.refusedUpTo, s.Number)
			delete(h.returned, s)
		}
	}
	// An owner that is gone needs no report of returns, since its slots end with
	// it.
	for _, o := range h.owners {
		for s := range o.returned {
			if _, recent := h.returned[s]; !recent {
				delete(o.returned, s)
			}
		}
	}
}
