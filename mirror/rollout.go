package mirror

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

// Rollout is an operator's order to move the requests of a service to targets of a version.
type Rollout struct {
	Service string
	// To is the version, empty if the order was removed.
	To string
	// Duration is the time for the roll-out, counted from the order.
	Duration time.Duration
	// Revision is that of the entry. Each order has another one.
	Revision int64
	// Received is when the order was received: by the first daemon if it arrived as a change,
	// by this daemon if it arrived with all entries.
	Received clock.Instant
}

// RolloutPhase is a step of a roll-out.
type RolloutPhase string

// Phases of a roll-out.
const (
	RolloutCanary    RolloutPhase = "canary"    // a small share of the requests goes to the new version
	RolloutRamp      RolloutPhase = "ramp"      // a larger share does
	RolloutCutover   RolloutPhase = "cutover"   // all requests do, the old targets finish those that they have
	RolloutCompleted RolloutPhase = "completed" // the old targets stop
	RolloutReverted  RolloutPhase = "reverted"  // no request goes to the new version
)

// InProgress reports whether the roll-out may still be completed or reverted.
func (p RolloutPhase) InProgress() bool {
	return p == RolloutCanary || p == RolloutRamp || p == RolloutCutover
}

// RolloutState is how far the roll-out of a service is, as the daemons store it.
type RolloutState struct {
	Service string `json:"-"`
	To      string `json:"to"`
	// Order is the revision of the order that it carries out.
	Order int64        `json:"order"`
	Phase RolloutPhase `json:"phase"`
	// Old holds the other versions that the targets had when the roll-out began.
	Old []string `json:"old-versions"`
	// Rejected holds the versions of earlier roll-outs of the service that were reverted.
	Rejected []string `json:"rejected-versions,omitempty"`
	// Started is when the order was received, in Unix milliseconds.
	Started int64 `json:"started-ms"`
	// Revision is that of the entry.
	Revision int64 `json:"-"`
	// Received is when the entry was received, as in Rollout.
	Received clock.Instant `json:"-"`
}

func (Rollout) isRecord()      {}
func (RolloutState) isRecord() {}

// RolloutPrefix is the key prefix of the entries that hold a RolloutState.
const RolloutPrefix = "rattanline/rollouts/"

// Entry returns the write that stores the state.
func (s RolloutState) Entry() (port.Write, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return port.Write{}, fmt.Errorf("encode roll-out: %w", err)
	}
	return port.Write{Key: RolloutPrefix + s.Service, Value: value}, nil
}

func decodeRolloutState(e port.Entry) (Record, error) {
	s := RolloutState{}
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return nil, fmt.Errorf("decode roll-out %s: %w", e.Key, err)
	}
	s.Service, s.Revision = e.Key[len(RolloutPrefix):], e.Revision
	if known := s.Phase.InProgress() || s.Phase == RolloutCompleted || s.Phase == RolloutReverted; !known || s.To == "" {
		return nil, errors.Errorf("roll-out of %q to %q in phase %q", s.Service, s.To, s.Phase)
	}
	return s, nil
}
