// Package exchange connects all daemons with each other: who lives and is
// ready, what each client account asks and gets, the work each daemon has at
// each target, and the crashes seen. Daemons that the key-value service can't be
// reached from get its content this way.
package exchange

import (
	"time"

	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
)

// Service is the name of the receiver of calls.
const Service = "Exchange"

// Status is what a daemon tells of itself.
type Status struct {
	mirror.Member
	// Ready daemons take callers; leaving ones finish what they have.
	Ready, Leaving bool
	// Connected tells that the daemon reaches the key-value service.
	Connected bool
}

// Message is what one daemon tells another, in a call and in its reply.
type Message struct {
	From Status
	// Revision is that of the copy of the key-value service, ProofAge how long
	// ago the copy was known to be complete.
	Revision int64
	ProofAge time.Duration
	// Want asks for what the copy has beyond this revision.
	Want bool
	// Changes are those after the caller's revision, in a reply to a call that
	// wanted them; Complete tells that none is missing. Otherwise Entries is the
	// whole copy.
	Changes  []mirror.Change
	Complete bool
	Entries  []port.Entry
	Report   Report
	Marks    []quarantine.Mark
	// Group sums up the daemons for which a hub speaks, the hub included; nil if
	// the sender speaks for itself only.
	Group *Group
	// Fleet sums up all daemons but the caller, in the reply of a hub to a daemon
	// for which it speaks.
	Fleet *Group
	// Held is the digest of the list of daemons that the sender holds from the
	// receiver, which need not be sent again.
	Held uint64
}

// Group sums up several daemons.
type Group struct {
	// Domain is the failure domain of the daemons, empty for those of all.
	Domain string
	// Daemons holds the live ones, nil if the receiver holds the list with the
	// Digest.
	Daemons []Status
	Digest  uint64
	Report  Report
}
