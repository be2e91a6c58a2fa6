package mirror

import (
	"fmt"
	"strings"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
)

// Suspect is a request that was in flight at several crashes, as the daemons store it.
type Suspect struct {
	Key string
	quarantine.Suspect
}

// PoisonSegment is a quarantined prompt segment, as the daemons store it.
type PoisonSegment struct {
	Key string
	quarantine.PoisonSegment
}

func (Suspect) isRecord()       {}
func (PoisonSegment) isRecord() {}

func decodeSuspect(e port.Entry) (Record, error) {
	s, err := quarantine.DecodeSuspect(e)
	if err != nil {
		return nil, fmt.Errorf("entry of a suspect request: %w", err)
	}
	return Suspect{e.Key, s}, nil
}

func decodePoisonSegment(e port.Entry) (Record, error) {
	s, err := quarantine.DecodePoisonSegment(e)
	if err != nil {
		return nil, fmt.Errorf("entry of a poison segment: %w", err)
	}
	return PoisonSegment{e.Key, s}, nil
}

// removedCrashes returns the record that the removal of a key of stored crashes affects, nil for
// other keys.
func removedCrashes(key string) Record {
	switch {
	case strings.HasPrefix(key, quarantine.SuspectPrefix):
		return Suspect{Key: key}
	case strings.HasPrefix(key, quarantine.SegmentPrefix):
		return PoisonSegment{Key: key}
	}
	return nil
}
