package mirror

import (
	"github.com/VictoriaMetrics/metrics"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

var (
	storeReturns  = metrics.GetOrCreateCounter("rattanline_store_returns_total")
	unstatedEras  = metrics.GetOrCreateCounter("rattanline_store_unstated_eras_total")
	lateReplies   = metrics.GetOrCreateCounter("rattanline_store_late_replies_total")
	storeEraGauge = metrics.GetOrCreateGauge("rattanline_store_era", nil)
)

// LearnEra records an era that a peer has stated. Content and replies of earlier eras are then
// ignored.
func (m *Mirror) LearnEra(era port.Era) {
	for {
		known := m.peerEra.Load()
		if int64(era) <= known || m.peerEra.CompareAndSwap(known, int64(era)) {
			return
		}
	}
}

// KnownEra returns the highest era of the service that this daemon has learned of: from its view,
// from any reply of the service, or from a peer.
func (m *Mirror) KnownEra() port.Era {
	known := max(port.Era(m.peerEra.Load()), m.View().Position.Era)
	if m.Poller != nil {
		known = max(known, m.Poller.Era())
	}
	return known
}

// checkEra returns the position of a reply with its era, given the highest era that was known when
// the call was sent. A reply cannot be of an earlier era than that, so the service has stated the
// era wrongly or not at all. It returns port.ErrCompacted for a reply that arrives after a later
// era became known.
func (m *Mirror) checkEra(at port.Position, knownAtCall port.Era) (port.Position, error) {
	if at.Era < knownAtCall {
		unstatedEras.Inc()
		if !m.unstatedLogged.Swap(true) {
			m.Logger.Warn().Int64("stated", int64(at.Era)).Int64("era", int64(knownAtCall)).Msg("reply states no valid era, using the known one")
		}
		at.Era = knownAtCall
	}
	if known := m.KnownEra(); at.Era < known {
		lateReplies.Inc()
		m.Logger.Info().Int64("era", int64(at.Era)).Int64("known", int64(known)).Msg("reply of an earlier era ignored")
		return at, port.ErrCompacted
	}
	return at, nil
}

// enterEra replaces the entries of a view by a complete set of entries of a later era. The
// revisions of the view mean nothing there. What may be newer in the view than in the set is carried.
func (m *Mirror) enterEra(v *View, entries []port.Entry, at port.Position, now clock.Instant) []Record {
	known := v.known(now)
	v.entries, v.carried, v.settlesAt = make(map[string]port.Entry, len(entries)), map[string]Carried{}, now.Add(settleTime)
	var records []Record
	newest := at.Revision
	for _, e := range entries {
		newest = max(newest, e.Revision)
		before, ok := known[e.Key]
		delete(known, e.Key)
		switch {
		case ok && m.unchanged(e, before):
			v.entries[e.Key] = e
		case ok && m.isCarried(e.Key) && !m.supersedes(e, before):
			v.entries[e.Key] = e
			m.carry(v, before, e.Revision, now)
		default:
			if r, _ := m.take(v, e, now); r != nil {
				records = append(records, r)
			}
		}
	}
	records = append(records, m.leaveOut(v, known, now)...)
	m.Logger.Warn().Int64("from", int64(v.Position.Era)).Int64("to", int64(at.Era)).Int64("from-revision", v.Position.Revision).
		Int64("revision", at.Revision).Int("changed", len(records)).Int("carried", len(v.carried)).Msg("era of the key-value service changed")
	if v.Position.Era != 0 {
		storeReturns.Inc()
	}
	v.Position = at
	v.restartLog(newest)
	return records
}

// leaveOut carries what the service doesn't show any more, or removes it from the view.
func (m *Mirror) leaveOut(v *View, missing map[string]Carried, now clock.Instant) []Record {
	var records []Record
	for key, c := range missing {
		switch {
		case c.Removed:
		case m.isCarried(key):
			m.carry(v, c, 0, now)
		default:
			r := m.decodeRemoval(key)
			v.remove(r, now)
			if r != nil {
				records = append(records, r)
			}
		}
	}
	return records
}
