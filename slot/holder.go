package slot

import (
	"maps"
	"slices"
	"time"

	"rattanline.example/rattanline/usage"
)

// retention is how long a returned slot is remembered by itself; afterwards all
// slots up to its number are refused. A grant can't be delayed as long, unless
// its owner was paused.
const retention = 30 * time.Second

// held is a slot as its holder knows it.
type held struct {
	slot     Slot
	busy     bool
	recalled bool
	fresh    bool // not reported in a renewal yet
	until    time.Time
	idle     time.Time
}

// owner is what a holder knows of one owner.
type owner struct {
	acked    uint64    // newest renewal that was answered
	lease    time.Time // when that renewal was sent
	returned map[Slot]uint64
	refused  uint64 // grants up to this number are refused
}

// Holder keeps the slots that this daemon may use. It is not safe for
// concurrent use.
type Holder struct {
	Self    usage.Source
	Address string
	Times   Times
	// Owner returns the present owner of a target.
	Owner func(target string) (usage.Source, bool)

	start    time.Time
	sequence uint64
	slots    map[string]map[Slot]*held
	owners   map[usage.Source]*owner
	// returned remembers slots given back, so that a late grant of them is
	// refused.
	returned map[Slot]time.Time
	frozen   map[string]uint64
	states   map[string]TargetState
}

func (h *Holder) owner(source usage.Source) *owner {
	if h.owners == nil {
		h.owners = map[usage.Source]*owner{}
		h.slots = map[string]map[Slot]*held{}
		h.returned = map[Slot]time.Time{}
		h.frozen = map[string]uint64{}
		h.states = map[string]TargetState{}
	}
	if h.owners[source] == nil {
		h.owners[source] = &owner{returned: map[Slot]uint64{}}
	}
	return h.owners[source]
}

// Free returns a slot on which a request may start now, and how many there are.
func (h *Holder) Free(now time.Time, target string) (Slot, int) {
	var first Slot
	if _, frozen := h.frozen[target]; frozen {
		return first, 0
	}
	count := 0
	for s, e := range h.slots[target] {
		if e.busy || e.recalled || !now.Before(e.until) {
			continue
		}
		if count == 0 || compareSlots(s, first) < 0 {
			first = s
		}
		count++
	}
	return first, count
}

// Count returns how many slots of the target are held and how many are busy.
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

// Idle tells whether the slot is held and not used by a request.
func (h *Holder) Idle(s Slot) bool {
	e := h.slots[s.Target][s]
	return e != nil && !e.busy
}

// State returns what an owner last said of the target.
func (h *Holder) State(target string) TargetState { return h.states[target] }

// Start marks the slot as used by a request.
func (h *Holder) Start(s Slot) {
	if e := h.slots[s.Target][s]; e != nil {
		e.busy = true
	}
}

// End marks the slot as idle. A slot that is recalled is returned.
func (h *Holder) End(now time.Time, s Slot) {
	e := h.slots[s.Target][s]
	if e == nil {
		return
	}
	e.busy, e.idle = false, now
	if e.recalled {
		h.Return(now, s)
	}
}

// Return gives an idle slot back with the next renewal.
func (h *Holder) Return(now time.Time, s Slot) {
	if e := h.slots[s.Target][s]; e != nil && e.busy {
		return
	}
	h.drop(s)
	h.refuse(now, s)
}

// refuse tells the owner that the slot is not held.
func (h *Holder) refuse(now time.Time, s Slot) {
	source, ok := h.Owner(s.Target)
	if !ok {
		source = s.Owner
	}
	h.owner(source).returned[s] = 0
	h.returned[s] = now
}

func (h *Holder) drop(s Slot) {
	delete(h.slots[s.Target], s)
	if len(h.slots[s.Target]) == 0 {
		delete(h.slots, s.Target)
	}
}

// ReturnIdle returns the idle slots of a target that have been idle for at
// least the duration, and tells how many.
func (h *Holder) ReturnIdle(now time.Time, target string, after time.Duration) int {
	count := 0
	for s, e := range h.slots[target] {
		if !e.busy && now.Sub(e.idle) >= after {
			h.Return(now, s)
			count++
		}
	}
	return count
}

// Freeze stops new work at the target until its owner has answered a renewal
// that was sent after now and says so: the target crashed or runs as a new
// incarnation, and its limit may have fallen.
func (h *Holder) Freeze(target string) {
	h.owner(h.Self)
	h.frozen[target] = h.sequence
}

// Owners returns the owners that must be told of slots or returns.
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

// HasUnsentReturns tells whether the owner was not told of a returned slot yet.
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

// Renewal returns the next renewal for an owner, a full one unless the last
// full one was answered within the interval.
func (h *Holder) Renewal(now time.Time, source usage.Source, interval time.Duration) Renewal {
	o := h.owner(source)
	// The start in milliseconds orders the renewals of consecutive incarnations.
	h.sequence = max(h.sequence+1, uint64(h.started(now).UnixMilli()))
	r := Renewal{Holder: h.Self, Address: h.Address, Sequence: h.sequence}
	r.Partial = now.Sub(o.lease) < interval
	if !r.Partial {
		h.list(&r, source)
	}
	for _, s := range slices.SortedFunc(maps.Keys(o.returned), compareSlots) {
		if o.returned[s] == 0 {
			o.returned[s] = h.sequence
		}
		r.Returned = append(r.Returned, s)
	}
	return r
}

// started returns when this holder sent its first renewal.
func (h *Holder) started(now time.Time) time.Time {
	if h.start.IsZero() {
		h.start = now
	}
	return h.start
}

// list adds the slots at the owner's targets.
func (h *Holder) list(r *Renewal, source usage.Source) {
	for _, target := range h.Targets() {
		if current, ok := h.Owner(target); !ok || current != source {
			continue
		}
		foreign := false
		for _, s := range slices.SortedFunc(maps.Keys(h.slots[target]), compareSlots) {
			e := h.slots[target][s]
			e.fresh = false
			r.Slots = append(r.Slots, Held{Slot: s, Busy: e.busy})
			foreign = foreign || s.Owner != source
		}
		// A new owner takes over the limit from what holders last saw.
		if state, ok := h.states[target]; ok && foreign {
			r.States = append(r.States, state)
		}
	}
}

// HandleReply takes the answer to a renewal that was sent at the given time.
func (h *Holder) HandleReply(now time.Time, source usage.Source, r Renewal, sent time.Time, reply RenewalReply) {
	o := h.owner(source)
	if reply.Owner != source {
		return
	}
	// Also an answer that a later one overtook shows what the owner was told.
	h.thaw(source, r)
	if r.Sequence <= o.acked {
		return
	}
	o.acked = r.Sequence
	for s, sequence := range o.returned {
		if sequence != 0 && sequence <= r.Sequence {
			delete(o.returned, s)
		}
	}
	h.setStates(reply.States)
	if !r.Partial {
		h.extend(source, r, sent, reply.Valid)
	}
	for _, s := range reply.Granted {
		h.accept(now, source, s)
	}
	for _, s := range reply.Recalled {
		h.recall(now, s)
	}
}

// thaw allows new work at frozen targets whose owner took an observation of the
// crash or the new incarnation with the renewal.
func (h *Holder) thaw(source usage.Source, r Renewal) {
	maps.DeleteFunc(h.frozen, func(target string, sequence uint64) bool {
		current, ok := h.Owner(target)
		// While the observation is on its way to a former owner, the current one
		// answers without knowing of the crash.
		seen := r.Observations[target]
		told := seen.Crashes > 0 || seen.Incarnation != ""
		return ok && current == source && r.Sequence > sequence && told
	})
}

// extend renews the lease of the valid slots, and of those granted since the
// renewal was sent.
func (h *Holder) extend(source usage.Source, r Renewal, sent time.Time, confirmed []Slot) {
	h.owner(source).lease = sent
	until := sent.Add(h.Times.SlotLease)
	valid := make(map[Slot]bool, len(confirmed))
	for _, s := range confirmed {
		valid[s] = true
		if e := h.slots[s.Target][s]; e != nil {
			e.until = until
		}
	}
	for _, s := range r.Slots {
		// Unknown to the owner: not used unless a later renewal makes it valid.
		if e := h.slots[s.Slot.Target][s.Slot]; e != nil && !valid[s.Slot] {
			e.until = time.Time{}
		}
	}
	for _, slots := range h.slots {
		for s, e := range slots {
			if e.fresh && s.Owner == source {
				e.until = until
			}
		}
	}
}

// HandleGrant takes slots and recalls that an owner pushed.
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
	h.owner(h.Self)
	for _, s := range states {
		h.states[s.Target] = s
	}
}

// accept takes a granted slot. Its lease counts from the last renewal that the
// owner answered. A slot that was given back before is refused again.
func (h *Holder) accept(now time.Time, source usage.Source, s Slot) {
	o := h.owner(source)
	if h.slots[s.Target][s] != nil {
		return
	}
	_, returned := h.returned[s]
	current, ok := h.Owner(s.Target)
	if returned || s.Number <= h.owner(s.Owner).refused || !ok || current != source {
		h.refuse(now, s)
		return
	}
	if h.slots[s.Target] == nil {
		h.slots[s.Target] = map[Slot]*held{}
	}
	h.slots[s.Target][s] = &held{slot: s, fresh: true, idle: now, until: o.lease.Add(h.Times.SlotLease)}
}

// recall returns a slot as soon as it is idle. One that never arrived is
// refused, so its owner need not wait for it.
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

// Prune forgets idle slots that no owner confirmed for two leases, and returned
// slots after the retention.
func (h *Holder) Prune(now time.Time) {
	for _, target := range h.Targets() {
		for s, e := range h.slots[target] {
			if !e.busy && now.Sub(e.until) > 2*h.Times.SlotLease && now.Sub(e.idle) > 2*h.Times.SlotLease {
				h.drop(s)
			}
		}
	}
	for s, at := range h.returned {
		if now.Sub(at) > retention {
			o := h.owner(s.Owner)
			o.refused = max(o.refused, s.Number)
			delete(h.returned, s)
		}
	}
	// An owner that is gone needs no returns; its own slots end with it.
	for _, o := range h.owners {
		for s := range o.returned {
			if _, recent := h.returned[s]; !recent {
				delete(o.returned, s)
			}
		}
	}
}
