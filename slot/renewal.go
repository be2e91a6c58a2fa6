package slot

import (
	"maps"
	"slices"
	"time"

	"rattanline.example/rattanline/usage"
)

// Renewal returns the next renewal for an owner. It is partial if a full renewal
// that was sent less than the interval ago has been answered, and full otherwise.
func (h *Holder) Renewal(now time.Time, source usage.Source, interval time.Duration) Renewal {
	o := h.owner(source)
	// Starting at the Unix time in milliseconds makes the sequence numbers grow
	// over consecutive incarnations.
	h.sequence = max(h.sequence+1, uint64(h.startTime(now).UnixMilli()))
	r := Renewal{Holder: h.Self, Address: h.Address, Sequence: h.sequence}
	r.Partial = now.Sub(o.leaseStart) < interval
	if !r.Partial {
		h.addSlots(&r, source)
	}
	for _, s := range slices.SortedFunc(maps.Keys(o.returned), compareSlots) {
		if o.returned[s] == 0 {
			o.returned[s] = h.sequence
		}
		r.Returned = append(r.Returned, s)
	}
	return r
}

// startTime returns the time of this holder's first renewal, which it sets on
// the first call.
func (h *Holder) startTime(now time.Time) time.Time {
	if h.firstRenewal.IsZero() {
		h.firstRenewal = now
	}
	return h.firstRenewal
}

// addSlots adds the slots at the owner's targets to a full renewal, and the
// states of targets that have slots of a former owner.
func (h *Holder) addSlots(r *Renewal, source usage.Source) {
	for _, target := range h.Targets() {
		if current, ok := h.Owner(target); !ok || current != source {
			continue
		}
		foreign := false
		for _, s := range slices.SortedFunc(maps.Keys(h.slots[target]), compareSlots) {
			e := h.slots[target][s]
			e.unreported = false
			r.Slots = append(r.Slots, Held{Slot: s, Busy: e.busy})
			foreign = foreign || s.Owner != source
		}
		// A new owner adopts the limit that holders last received.
		if state, ok := h.states[target]; ok && foreign {
			r.States = append(r.States, state)
		}
	}
}

// HandleReply processes an owner's reply to the renewal r, which was sent at the
// given time. It ignores a reply of any other owner than the given one. Of replies
// that arrive out of order only the newest takes effect, except that an older one
// may end a freeze.
func (h *Holder) HandleReply(now time.Time, source usage.Source, r Renewal, sent time.Time, reply RenewalReply) {
	o := h.owner(source)
	if reply.Owner != source {
		return
	}
	// A reply that arrives after a newer one still proves that the owner has
	// received the observations of its renewal.
	h.unfreeze(source, r)
	if r.Sequence <= o.ackedSequence {
		return
	}
	o.ackedSequence = r.Sequence
	for s, sequence := range o.returned {
		if sequence != 0 && sequence <= r.Sequence {
			delete(o.returned, s)
		}
	}
	h.setStates(reply.States)
	if !r.Partial {
		h.extendLease(source, r, sent, reply.Valid)
	}
	for _, s := range reply.Granted {
		h.accept(now, source, s)
	}
	for _, s := range reply.Recalled {
		h.recall(now, s)
	}
}

// unfreeze allows new work at frozen targets whose current owner has received an
// observation of the crash or the new incarnation with the renewal.
func (h *Holder) unfreeze(source usage.Source, r Renewal) {
	maps.DeleteFunc(h.frozen, func(target string, sequence uint64) bool {
		current, ok := h.Owner(target)
		// While the observation is in flight to a former owner, the current owner
		// replies without knowing of the crash.
		observed := r.Observations[target]
		ownerNotified := observed.Crashes > 0 || observed.Incarnation != ""
		return ok && current == source && r.Sequence > sequence && ownerNotified
	})
}

// extendLease extends the lease of the confirmed slots, and of granted slots that
// no full renewal has listed yet.
func (h *Holder) extendLease(source usage.Source, r Renewal, sent time.Time, confirmed []Slot) {
	h.owner(source).leaseStart = sent
	until := sent.Add(h.Times.SlotLease)
	valid := make(map[Slot]bool, len(confirmed))
	for _, s := range confirmed {
		valid[s] = true
		if e := h.slots[s.Target][s]; e != nil {
			e.expires = until
		}
	}
	for _, s := range r.Slots {
		// The owner doesn't know this slot, so it must not be used unless a later
		// renewal confirms it.
		if e := h.slots[s.Slot.Target][s.Slot]; e != nil && !valid[s.Slot] {
			e.expires = time.Time{}
		}
	}
	for _, slots := range h.slots {
		for s, e := range slots {
			if e.unreported && s.Owner == source {
				e.expires = until
			}
		}
	}
}
