// Package slot decides who may have a request in flight at a target: Owner for
// the daemon that owns targets, Holder for the daemons that queue requests.
package slot

import (
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/usage"
)

// Slot is the right to have one request in flight at a target. Owner and Number
// make it unique, so repeated and reordered messages do no harm.
type Slot struct {
	Target string
	Owner  usage.Source
	Number uint64
}

// Held is a slot as its holder reports it.
type Held struct {
	Slot Slot
	Busy bool
}

// Demand lists the accounts that wait at a holder for a service, and how many
// requests each has waiting, up to MaxDemandCount.
type Demand struct {
	Service  string
	Accounts []string
	Counts   []int
}

// TargetState is what an owner told its holders of a target, and what holders
// tell a new owner, so that a change of owner doesn't restart the ramp-up.
type TargetState struct {
	Target      string
	Incarnation string
	Limit       int
	Ramping     bool
}

// Renewal extends the lease of a holder's slots at one owner and reports its
// demand. Sequence grows with each renewal of one holder, also over its incarnations;
// older ones are ignored.
type Renewal struct {
	Holder   usage.Source
	Address  string
	Sequence uint64
	// Partial renewals carry changes only: Slots is empty, Demands has the
	// services whose demand changed, no lease is extended and the reply has only
	// what is new. They keep the traffic of changes small.
	Partial  bool
	Slots    []Held
	Returned []Slot
	Demands  []Demand
	States   []TargetState
	// Observations sum up the attempts since the last renewal, by target.
	Observations map[string]limit.Observation
}

// RenewalReply tells which slots remain valid. A slot of the renewal that is
// neither valid nor recalled is unknown to the owner and must not be used.
type RenewalReply struct {
	Owner    usage.Source
	Valid    []Slot
	Granted  []Slot
	Recalled []Slot
	States   []TargetState
}

// Grant is pushed by an owner when slots become free or must come back.
type Grant struct {
	Owner    usage.Source
	Slots    []Slot
	Recalled []Slot
	States   []TargetState
}
