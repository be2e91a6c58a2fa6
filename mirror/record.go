// Package mirror keeps a copy of the key-value service in each daemon: the
// configuration, the evacuated failure domains, the targets and the members. It
// knows how fresh the copy is, and passes it on to daemons that don't reach the
// service.
package mirror

import (
	"encoding/json"
	"fmt"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
)

// Record is what one key tells: one of Configuration, Evacuation, Target, Member.
type Record interface{ isFact() }

// Configuration is the newest configuration.
type Configuration struct{ Document config.Document }

// Evacuation tells that the targets of a failure domain get nothing more.
type Evacuation struct{ Domain string }

// Target is a server as it lists itself.
type Target struct {
	Name    string
	Service string
	Address string // IP and port
	Domain  string
	Slots   int
	Leaving bool
	// Cold is how long it was still cold when the entry was written.
	Cold time.Duration
	// StartTime tells its starts apart, in Unix milliseconds; zero if it doesn't say.
	StartTime int64
	// Changed is when this daemon learned the entry.
	Changed clock.Instant
	// Removed is when this daemon learned that the entry is gone, zero before.
	Removed clock.Instant
}

// Member is a daemon as it lists itself.
type Member struct {
	Name        string `json:"-"`
	Link        string `json:"link-address"`
	Frontend    string `json:"frontend-address"`
	Domain      string `json:"failure-domain"`
	Incarnation string `json:"incarnation"`
	// Cores is the processor time that its machine provides.
	Cores float64 `json:"cores"`
}

func (Configuration) isFact() {}
func (Evacuation) isFact()    {}
func (Target) isFact()        {}
func (Member) isFact()        {}

// MemberPrefix is where daemons list themselves.
const MemberPrefix = "rattanline/members/"

// Entry returns the key and value under which the member lists itself.
func (m Member) Entry() (port.Write, error) {
	value, err := json.Marshal(m)
	if err != nil {
		return port.Write{}, fmt.Errorf("encode member: %w", err)
	}
	return port.Write{Key: MemberPrefix + m.Name, Value: value}, nil
}

func decodeMember(e port.Entry) (Record, error) {
	m := Member{}
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return nil, fmt.Errorf("decode member %s: %w", e.Key, err)
	}
	m.Name = e.Key[len(MemberPrefix):]
	return m, nil
}
