package quarantine

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// markParts is the number of parts of the marks that have a digest of their own, so that daemons
// that differ in a few marks exchange a few. It must be the same in all daemons.
const markParts = 64

// Digests are the digests of the parts of a set of marks. Equal sets have equal digests.
type Digests [markParts]uint64

// Sum returns a digest of all marks, zero if there is none.
func (d Digests) Sum() uint64 {
	if d == (Digests{}) {
		return 0
	}
	h := xxhash.New()
	for _, part := range d {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, part))
	}
	return h.Sum64()
}

// toggle adds the mark to the digests, or removes it from them.
func (d *Digests) toggle(m Mark) { d[m.part()] ^= m.hash() }

func (m Mark) part() int { return int(m.Fingerprint % markParts) }

func (m Mark) hash() uint64 {
	flags := uint64(0)
	for i, set := range []bool{m.Alone, m.Late, m.Answered} {
		if set {
			flags |= 1 << i
		}
	}
	h := xxhash.New()
	_, _ = h.WriteString(m.Crash)
	for _, n := range []uint64{m.Fingerprint, flags, uint64(m.Expires.UnixNano())} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, n))
	}
	return h.Sum64()
}

// Digests returns the digests of the marks in force.
func (r *Registry) Digests(now time.Time) Digests {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return r.digests
}

// Missing returns marks in the parts in which another daemon with the digests differs from this
// one, limit of them if there are more. The parts are in random order, so that one in which daemons
// can't agree, as with clocks that differ, doesn't delay the others.
func (r *Registry) Missing(now time.Time, other Digests, limit int) []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	parts := make([][]Mark, markParts)
	for _, marks := range r.marks {
		for _, m := range marks {
			if p := m.part(); r.digests[p] != other[p] {
				parts[p] = append(parts[p], m)
			}
		}
	}
	var missing []Mark
	for _, p := range rand.Perm(markParts) {
		if len(missing) >= limit {
			break
		}
		missing = append(missing, parts[p]...)
	}
	return missing[:min(len(missing), max(limit, 0))]
}
