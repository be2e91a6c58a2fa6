package mirror

import (
	"fmt"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
)

// Suspect is a request that was in flight at several crashes, as the daemons store it.
type Suspect struct{ quarantine.Suspect }

func (Suspect) isRecord() {}

func decodeSuspect(e port.Entry) (Record, error) {
	s, err := quarantine.DecodeSuspect(e)
	if err != nil {
		return nil, fmt.Errorf("entry of a suspect request: %w", err)
	}
	return Suspect{s}, nil
}

// suspectOf returns the record that the removal of the key affects, nil if the key names no
// request.
func suspectOf(key string) Record {
	f, err := quarantine.Fingerprint(key)
	if err != nil {
		return nil
	}
	return Suspect{quarantine.Suspect{Fingerprint: f}}
}
