package coordinator

import "rattanline.example/rattanline/config"

// historyVersions is the number of former versions kept. At 14,000 changes a
// day, a daemon that is 8 versions behind was disconnected for about a minute.
const historyVersions = 8

// history keeps the last versions of the configuration, so that daemons that
// hold one of them receive the difference instead of the whole document. The
// documents share the strings of unchanged items.
type history struct {
	documents []config.Document
	// deltas are the differences computed so far from a base version, which is
	// the key, to the target version.
	deltas map[uint64]*config.Delta
	target uint64
}

// add keeps a version that is no longer in force.
func (h *history) add(d config.Document) {
	if d.Version == 0 {
		return
	}
	h.documents = append(h.documents, d)
	if len(h.documents) > historyVersions {
		h.documents = h.documents[1:]
	}
}

// deltaFrom returns the difference from a version to the one in force, or nil if
// that version is no longer kept.
func (h *history) deltaFrom(version uint64, current config.Document) *config.Delta {
	if h.target != current.Version {
		h.target, h.deltas = current.Version, map[uint64]*config.Delta{}
	}
	if c := h.deltas[version]; c != nil {
		return c
	}
	for _, d := range h.documents {
		if d.Version == version {
			delta := config.DeltaBetween(d, current)
			h.deltas[version] = &delta
			return &delta
		}
	}
	return nil
}
