// Package operator holds the operators' HTTP listener, its client, and the
// collection of status and events from all daemons.
package operator

import (
	"context"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
)

// Fleet is what the listener needs of the daemon that it runs in.
type Fleet interface {
	// Configuration returns the version in force at this daemon.
	Configuration() config.Document
	// Refresh fetches at least the version before it returns.
	Refresh(ctx context.Context, version uint64) error
	Submit(ctx context.Context, r submission.Request) (submission.Outcome, error)
	// Status returns one entry for each daemon, also for those that don't answer.
	Status(ctx context.Context) []HostStatus
	// Events returns the events of all daemons in one order.
	Events(ctx context.Context, f timeline.Filter) []timeline.Event
}

// HostStatus is the status of one daemon as seen by the daemon that was asked.
type HostStatus struct {
	Daemon        string `json:"daemon"`
	Host          string `json:"host"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
	// MemberState is the state in the member table.
	MemberState string `json:"member-state"`
	// StatusReply is what the daemon said of itself; empty if Error is set.
	StatusReply
	Error string `json:"error,omitempty"`
}

// Status is the status of the fleet.
type Status struct {
	// Version is the highest configuration version at any daemon that answered.
	Version uint64 `json:"version"`
	// Slowest is the lowest one, and SlowestDaemons are those that have it.
	Slowest        uint64   `json:"slowest"`
	SlowestDaemons []string `json:"slowest-daemons"`
	Silent         int      `json:"silent"` // daemons that didn't answer
	// Drained are the failure domains that the configuration at the asked daemon
	// marks as drained.
	Drained []string     `json:"drained-failure-domains,omitempty"`
	Hosts   []HostStatus `json:"hosts"`
}

// drained returns the names of the drained failure domains.
func drained(d config.Document) []string {
	var names []string
	for _, f := range d.FailureDomains {
		if f.Drained {
			names = append(names, f.Name)
		}
	}
	return names
}

// Summarize computes the status of the fleet from that of its daemons.
func Summarize(hosts []HostStatus) Status {
	s := Status{Hosts: hosts}
	first := true
	for _, h := range hosts {
		if h.Error != "" {
			s.Silent++
			continue
		}
		s.Version = max(s.Version, h.Version)
		switch {
		case first || h.Version < s.Slowest:
			s.Slowest, s.SlowestDaemons = h.Version, []string{h.Daemon}
		case h.Version == s.Slowest:
			s.SlowestDaemons = append(s.SlowestDaemons, h.Daemon)
		}
		first = false
	}
	return s
}
