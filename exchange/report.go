package exchange

import (
	"maps"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/rollout"
)

// Report is the load of one or more daemons.
type Report struct {
	// Accounts holds the client accounts with requests in the last seconds, by
	// name.
	Accounts map[string]AccountRate
	// Targets holds the work in flight, by target name.
	Targets map[string]Work
	// Leaving holds the targets that stated that they are leaving, by name, with the time
	// of their start.
	Leaving map[string]int64
	// Rollouts holds what the daemons saw of the versions in roll-outs, by service.
	Rollouts map[string]rollout.Evidence
}

type (
	// AccountRate is the work of a client account per second.
	AccountRate = admission.Rate
	// Work is the work that a daemon has in flight at a target.
	Work = placement.Work
)

func newReport() Report {
	return Report{Accounts: map[string]AccountRate{}, Targets: map[string]Work{}, Leaving: map[string]int64{}, Rollouts: map[string]rollout.Evidence{}}
}

// add adds the values of another report to r.
func (r Report) add(o Report) {
	for name, rate := range o.Accounts {
		sum := r.Accounts[name]
		r.Accounts[name] = AccountRate{Asked: sum.Asked + rate.Asked, Served: sum.Served + rate.Served}
	}
	for name, w := range o.Targets {
		sum := r.Targets[name]
		r.Targets[name] = Work{Requests: sum.Requests + w.Requests, Prompt: sum.Prompt + w.Prompt, Long: sum.Long + w.Long}
	}
	for name, started := range o.Leaving {
		r.Leaving[name] = max(r.Leaving[name], started)
	}
	addRollouts(r.Rollouts, o.Rollouts)
}

// without returns r minus the load in a report that was added to it before, with no value
// below zero.
func (r Report) without(o Report) Report {
	rest := Report{Accounts: maps.Clone(r.Accounts), Targets: maps.Clone(r.Targets), Leaving: r.Leaving, Rollouts: rolloutsWithout(r.Rollouts, o.Rollouts)}
	for name, rate := range o.Accounts {
		sum := rest.Accounts[name]
		rest.Accounts[name] = AccountRate{Asked: max(sum.Asked-rate.Asked, 0), Served: max(sum.Served-rate.Served, 0)}
	}
	for name, w := range o.Targets {
		sum := rest.Targets[name]
		rest.Targets[name] = Work{
			Requests: max(sum.Requests-w.Requests, 0), Prompt: max(sum.Prompt-w.Prompt, 0), Long: max(sum.Long-w.Long, 0),
		}
	}
	return rest
}
