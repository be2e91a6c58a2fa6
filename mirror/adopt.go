package mirror

import (
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

// Content is what a daemon sends of its mirror to another one.
type Content struct {
	Position port.Position
	// Entries holds all entries, or is nil if Changes holds those after the receiver's position,
	// which may be none. Complete reports whether it does.
	Entries  []port.Entry
	Changes  []Change
	Complete bool
	// Carried is what the other mirror carries over a return of the service, and Configuration the
	// entry of the configuration that it acts by, both only where the receiver may need them.
	Carried       []Carried
	Configuration *port.Entry
}

// Adopt applies the content of another daemon's mirror. The other mirror was known to be complete
// at proofTime, which counts for this mirror if both are then at the same position. Content of an
// earlier era than the known one proves nothing. It is ignored, except by an empty mirror: it may be
// newer than what the service shows after its return.
func (m *Mirror) Adopt(c Content, proofTime clock.Instant) {
	m.LearnEra(c.Position.Era)
	current := c.Position.Era >= m.KnownEra()
	m.adopt(c, current)
	if current && m.View().Position == c.Position {
		m.advanceProofTime(proofTime)
	}
}

// adopt compares the positions under the lock: a poll that ends in between may have removed an
// entry, which an older content would bring back.
func (m *Mirror) adopt(c Content, current bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Configuration != nil {
		m.adoptConfiguration(*c.Configuration)
	}
	if known := m.View().Position; !current && known.Revision != 0 {
		return
	}
	m.adoptEntries(c)
	m.adoptCarried(c)
}

// adoptEntries applies the entries or changes of newer content.
func (m *Mirror) adoptEntries(c Content) {
	known := m.View().Position
	switch newer := c.Position.After(known); {
	case newer && c.Entries != nil:
		m.applyLocked(m.replacement(c.Entries, c.Position), false)
	case newer && c.Complete && c.Position.Era == known.Era:
		m.applyLocked(func(v *View, now clock.Instant) []Record {
			var records []Record
			for _, c := range c.Changes {
				if r := m.apply(v, c.Event, now.Add(-c.Age)); r != nil {
					records = append(records, r)
				}
			}
			v.Position = c.Position
			return records
		}, false)
	}
}

// adoptConfiguration puts the configuration by which a peer acts in force if its version is higher. A
// mirror without content keeps it until the first content arrives.
func (m *Mirror) adoptConfiguration(e port.Entry) {
	if m.View().Position.Revision == 0 {
		m.offered = &e
		return
	}
	m.applyLocked(func(v *View, now clock.Instant) []Record { return m.takeConfiguration(v, e, now) }, false)
}

func (m *Mirror) takeConfiguration(v *View, e port.Entry, now clock.Instant) []Record {
	r, err := m.decode(e)
	c, ok := r.(Configuration)
	if err != nil || !ok {
		m.Logger.Warn().Err(err).Str("key", e.Key).Msg("configuration of a peer unreadable")
		return nil
	}
	if c.Document.Version <= v.Version() {
		return nil
	}
	v.add(c, now)
	v.configuration = e
	return []Record{c}
}

// adoptCarried carries what a peer of the same era carries, for as long, where this mirror reads the
// same from the service and knows nothing newer.
func (m *Mirror) adoptCarried(c Content) {
	v, now := m.View(), clock.Now()
	if len(c.Carried) == 0 || c.Position.Era != v.Position.Era || !v.Settling(now) {
		return
	}
	m.applyLocked(func(v *View, now clock.Instant) []Record {
		var records []Record
		for _, carried := range c.Carried {
			if r := m.takeCarried(v, carried, now); r != nil {
				records = append(records, r)
			}
		}
		return records
	}, false)
}

func (m *Mirror) takeCarried(v *View, c Carried, now clock.Instant) Record {
	key := c.Entry.Key
	if _, ok := v.carried[key]; ok || !m.isCarried(key) || v.entries[key].Revision != c.Shown {
		return nil
	}
	r, err := m.decode(c.Entry)
	if err != nil || r == nil {
		return nil // it can't be acted by
	}
	c.until = now.Add(min(c.Left, removalRetention))
	v.carried[key] = c
	v.add(r, now)
	if c.Removed {
		v.remove(r, now)
	}
	return r
}
