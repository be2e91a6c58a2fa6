// Package mirror keeps a mirror of the key-value service in each daemon: the
// configuration, the evacuated failure domains, the targets and the members. It
// tracks how fresh the mirror is and provides its content to daemons that cannot
// reach the service.
package mirror

import (
	"encoding/json"
	"fmt"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
)

// Record is the decoded entry of one key: one of Configuration, Evacuation, Target,
// Member, Rollout, RolloutState, Suspect and PoisonSegment.
type Record interface{ isRecord() }

// Configuration is a version of the configuration. A view ignores versions lower
// than its own.
type Configuration struct{ Document config.Document }

// Evacuation marks a failure domain whose targets receive no more requests.
type Evacuation struct{ Domain string }

// Target is a server as its own entry describes it.
type Target struct {
	Name    string
	Service string
	Address string // IP and port
	Domain  string
	Slots   int
	// Version is the version of the target's software.
	Version string
	Leaving bool
	// Cold is the remaining cold time of the target when the entry was written.
	Cold time.Duration
	// StartTime identifies a start of the target, in Unix milliseconds. It is zero if
	// the entry does not contain it.
	StartTime int64
	// Changed is when the entry was received: by the first daemon if it arrived as a
	// change, by this daemon if it arrived with all entries.
	Changed clock.Instant
	// Removed is when the removal of the entry was received, zero before. It is the
	// time at the first daemon if the removal arrived as a change, and at this daemon
	// if the entry was missing among all entries.
	Removed clock.Instant
}

// Member is a daemon as its own entry describes it.
type Member struct {
	Name     string `json:"-"`
	Link     string `json:"link-address"`
	Frontend string `json:"frontend-address"`
	// Overflow is the address for connections that overloaded daemons pass on, empty if it
	// accepts none.
	Overflow    string `json:"overflow-address,omitempty"`
	Domain      string `json:"failure-domain"`
	Incarnation string `json:"incarnation"`
	// Cores is the processor time that the daemon's host provides, in cores.
	Cores float64 `json:"cores"`
	// Compression reports whether the daemon accepts compressed links.
	Compression bool `json:"compression,omitempty"`
}

func (Configuration) isRecord() {}
func (Evacuation) isRecord()    {}
func (Target) isRecord()        {}
func (Member) isRecord()        {}

// MemberPrefix is the key prefix of the entries of daemons.
const MemberPrefix = "rattanline/members/"

// Entry returns the write that stores the member's entry.
func (m Member) Entry() (port.Write, error) {
	value, err := json.Marshal(m)
	if err != nil {
		return port.Write{}, fmt.Errorf("encode member: %w", err)
	}
	return port.Write{Key: MemberPrefix + m.Name, Value: value}, nil
}

// maxCores is the highest number of cores that an entry may state.
const maxCores = 4096

func decodeMember(e port.Entry) (Record, error) {
	m := Member{}
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return nil, fmt.Errorf("decode member %s: %w", e.Key, err)
	}
	m.Name = e.Key[len(MemberPrefix):]
	if m.Name == "" || m.Link == "" || m.Cores < 0 || m.Cores > maxCores {
		return nil, fmt.Errorf("entry of member %q with link address %q and %g cores", m.Name, m.Link, m.Cores)
	}
	return m, nil
}
