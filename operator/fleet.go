// Package operator holds the operators' HTTP listener, its client, and the
// collection of status and events from all daemons.
package operator

import (
	"context"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
)

// Fleet gives the listener access to the daemon that it runs in and, through it, to
// the other daemons.
type Fleet interface {
	// Configuration returns the configuration in force at this daemon.
	Configuration() config.Document
	// Refresh waits until this daemon has the version or a newer one.
	Refresh(ctx context.Context, version uint64) error
	// Submit stores the document of the request as a new version.
	Submit(ctx context.Context, r submission.Request) (submission.Outcome, error)
	// Status returns the status of each daemon, including those that don't answer.
	Status(ctx context.Context) []HostStatus
	// Events returns the events of all daemons, ordered by time, daemon and sequence.
	Events(ctx context.Context, f timeline.Filter) []timeline.Event
}

// HostStatus is the status of one daemon as collected by another daemon or itself.
type HostStatus struct {
	Daemon        string `json:"daemon"`
	Host          string `json:"host"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
	// MemberState is the state in the member table.
	MemberState string `json:"member-state"`
	// StatusReply is the daemon's own report. It is empty if Error is set.
	StatusReply
	// Error describes why the daemon's report is missing.
	Error string `json:"error,omitempty"`
}

// Status is the status of the fleet.
type Status struct {
	// Version is the highest configuration version at any daemon that answered.
	Version uint64 `json:"version"`
	// Slowest is the lowest configuration version at any daemon that answered.
	Slowest uint64 `json:"slowest"`
	// SlowestDaemons are the names of the daemons whose version is Slowest.
	SlowestDaemons []string `json:"slowest-daemons"`
	// Silent is the number of daemons that didn't answer.
	Silent int `json:"silent"`
	// Drained are the names of the drained failure domains, according to the
	// configuration at the daemon that collected the status.
	Drained []string     `json:"drained-failure-domains,omitempty"`
	Hosts   []HostStatus `json:"hosts"`
}

// drainedDomains returns the names of the drained failure domains.
func drainedDomains(d config.Document) []string {
	var names []string
	for _, f := range d.FailureDomains {
		if f.Drained {
			names = append(names, f.Name)
		}
	}
	return names
}

// Summarize computes the status of the fleet from the statuses of its daemons. It
// doesn't set Drained.
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
