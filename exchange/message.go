// Package exchange connects all daemons with each other: who lives and is
// ready, what each client account asks and gets, the work each daemon has at
// each target, and the crashes seen. Daemons that the key-value service can't be
// reached from get its content this way.
package exchange

import (
	"time"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
)

// Service is the name of the receiver of calls.
const Service = "Exchange"

// Message is what one daemon tells another, in a call and in its reply.
type Message struct {
	Name        string
	Incarnation string
	Link        string
	Frontend    string
	Domain      string
	// Ready daemons take callers; leaving ones finish what they have.
	Ready, Leaving bool
	// Revision is that of the copy of the key-value service, ProofAge how long
	// ago the copy was known to be complete.
	Revision int64
	ProofAge time.Duration
	// Want asks for what the copy has beyond this revision.
	Want bool
	// Changes are those after the caller's revision, in a reply to a call that
	// wanted them; Complete tells that none is missing. Otherwise Entries is the
	// whole copy.
	Changes  []port.Event
	Complete bool
	Entries  []port.Entry
	Report   Report
	Marks    []quarantine.Mark
}

// Report is the load of one daemon.
type Report struct {
	// Accounts holds the accounts with requests in the last seconds.
	Accounts map[string]AccountRate
	// Targets holds the work in flight by target name.
	Targets map[string]Work
}

// Report values are those of the packages that use them.
type (
	// AccountRate is the work of an account per second.
	AccountRate = admission.Rate
	// Work is what one daemon has in flight at a target.
	Work = placement.Work
)

func newReport() Report {
	return Report{Accounts: map[string]AccountRate{}, Targets: map[string]Work{}}
}

// add adds another report.
func (r Report) add(o Report) {
	for name, rate := range o.Accounts {
		sum := r.Accounts[name]
		r.Accounts[name] = AccountRate{Asked: sum.Asked + rate.Asked, Served: sum.Served + rate.Served}
	}
	for name, w := range o.Targets {
		sum := r.Targets[name]
		r.Targets[name] = Work{Requests: sum.Requests + w.Requests, Prompt: sum.Prompt + w.Prompt}
	}
}
