package standin

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader states in each reply how often the metadata store came back from a copy.
const eraHeader = "Store-Era"

// MetadataCopy is a copy of the content of a Metadata.
type MetadataCopy struct {
	revision, compacted int64
	items               map[string]metadataItem
	history             []metadataItem
}

// Copy returns a copy of the content, without leases.
func (m *Metadata) Copy() MetadataCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MetadataCopy{m.revision, m.compacted, maps.Clone(m.items), slices.Clone(m.history)}
}

// Restore replaces the content by that of a copy and begins the next era. Revisions go back and are
// given out again. All leases are gone, and so are their keys.
func (m *Metadata) Restore(c MetadataCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.leases {
		l.timer.Stop()
	}
	m.leases = map[int64]*metadataLease{}
	m.revision, m.compacted = c.revision, c.compacted
	m.items, m.history = maps.Clone(c.items), slices.Clone(c.history)
	maps.DeleteFunc(m.items, func(_ string, i metadataItem) bool { return i.Lease != 0 })
	m.era++
	m.notify()
}

// Era returns the era that the replies state.
func (m *Metadata) Era() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

func (m *Metadata) stateEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatInt(m.Era(), 10))
}
