// Package slot controls which daemon may have a request in flight at a target.
// The daemon that owns a target grants slots with an Owner; the daemons that queue
// requests receive, use and return them with a Holder.
package slot

import (
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/usage"
)

// Slot is the right to have one request in flight at a target. Owner and Number
// make it unique, so that repeated and reordered messages have no effect.
type Slot struct {
	Target string
	Owner  usage.Source
	Number uint64
}

// Held is a holder's report of one of its slots.
type Held struct {
	Slot Slot
	Busy bool
}

// Demand lists the accounts that wait at a holder for a service, and the number
// of requests that each has waiting, up to MaxDemandCount.
type Demand struct {
	Service  string
	Accounts []string
	Counts   []int
}

// TargetState is the state of a target that an owner sends to its holders.
// Holders send it to a new owner, so that a change of owner doesn't restart the
// ramp-up.
type TargetState struct {
	Target      string
	Incarnation string
	Limit       int
	Ramping     bool
}

// Renewal extends the lease of a holder's slots at one owner and reports its
// demand. Sequence grows with each renewal of one holder, also over its
// incarnations; the owner rejects repeated and older renewals.
type Renewal struct {
	Holder   usage.Source
	Address  string
	Sequence uint64
	// Partial means that the renewal carries only changes, which keeps the traffic
	// small: Slots is empty, Demands has the services whose demand changed, no lease
	// is extended, and the reply has only grants, recalls and states that were not
	// sent before.
	Partial  bool
	Slots    []Held
	Returned []Slot
	Demands  []Demand
	States   []TargetState
	// Observations has the totals of the attempts since the last renewal, by
	// target.
	Observations map[string]limit.Observation
}

// RenewalReply lists the slots that remain valid. A slot of a full renewal that
// is neither valid nor recalled is unknown to the owner and must not be used.
type RenewalReply struct {
	Owner    usage.Source
	Valid    []Slot
	Granted  []Slot
	Recalled []Slot
	States   []TargetState
}

// Grant is a message that an owner pushes to a holder when it grants or recalls
// slots.
type Grant struct {
	Owner    usage.Source
	Slots    []Slot
	Recalled []Slot
	States   []TargetState
}
