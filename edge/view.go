package edge

import (
	"time"

	"rattanline.example/rattanline/mirror"
)

// viewChanged applies a new view of the store and logs the changed records.
func (d *Daemon) viewChanged(v *mirror.View, records []mirror.Record) {
	d.rollouts.Update(v)
	d.table.Update(v)
	if !d.exchange.Confirmed() {
		d.exchange.Announce() // asks the peers
	}
	for _, r := range records {
		e := d.Logger.Info().Int64("revision", v.Position.Revision)
		d.announceIfUrgent(r, v)
		switch r := r.(type) {
		case mirror.Configuration:
			e.Uint64("config", r.Document.Version).Int("routes", len(r.Document.Routes)).Msg("configuration in force")
		case mirror.Evacuation:
			e.Str("failure-domain", r.Domain).Bool("evacuated", v.Evacuated[r.Domain]).Msg("evacuation changed")
		case mirror.Target:
			t := v.Targets[r.Name]
			e.Str("target", r.Name).Str("service", t.Service).Str("address", t.Address).Str("version", t.Version).Bool("leaving", t.Leaving).
				Bool("removed", t.Removed != 0).Dur("cold", t.Cold).Int64("born", t.StartTime).Msg("target changed")
		case mirror.Member:
			_, present := v.Members[r.Name]
			e.Str("peer", r.Name).Bool("present", present).Msg("member changed")
		case mirror.Rollout:
			o := v.Rollouts[r.Service]
			e.Str("service", r.Service).Str("to", o.To).Dur("duration", o.Duration).Msg("order of a roll-out changed")
		case mirror.Suspect:
			_, present := v.Suspects[r.Key]
			if present {
				d.suspectArchive.Contents.Restore(time.Now(), r.Suspect)
			}
			e.Str("key", r.Key).Int("marks", len(r.Marks)).Bool("present", present).Msg("stored crash marks changed")
		case mirror.PoisonSegment:
			_, present := v.PoisonSegments[r.Key]
			if present {
				d.segmentArchive.Contents.Restore(time.Now(), r.PoisonSegment)
			}
			e.Str("key", r.Key).Str("segment", r.Segment).Bool("present", present).Msg("stored poison segment changed")
		case mirror.RolloutState:
			s := v.RolloutStates[r.Service]
			e.Str("service", r.Service).Str("to", s.To).Str("phase", string(s.Phase)).Msg("roll-out changed")
		}
	}
}

// announceIfUrgent starts a round of the exchange if this daemon is a hub and the
// changed record must reach the other daemons soon: they may not have read it
// themselves.
func (d *Daemon) announceIfUrgent(r mirror.Record, v *mirror.View) {
	switch r := r.(type) {
	case mirror.Configuration, mirror.Evacuation, mirror.Rollout, mirror.RolloutState:
	case mirror.Target:
		if t := v.Targets[r.Name]; !t.Leaving && t.Removed == 0 {
			return
		}
	case mirror.Member, mirror.Suspect, mirror.PoisonSegment:
		return
	}
	if d.exchange.IsHub() {
		d.exchange.Announce()
	}
}
