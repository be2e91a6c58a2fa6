// Package timeline records what each daemon does and merges the records of all
// daemons into one ordered time line.
package timeline

import "time"

// Event is one thing that happened at one daemon. Empty fields don't apply.
type Event struct {
	Time          time.Time `json:"time"`
	Sequence      uint64    `json:"sequence"`
	Daemon        string    `json:"daemon"`
	Host          string    `json:"host,omitempty"`
	FailureDomain string    `json:"failure-domain,omitempty"`
	Kind          string    `json:"kind"` // kebab case, such as "slot-granted"
	Request       string    `json:"request,omitempty"`
	Account       string    `json:"account,omitempty"`
	Target        string    `json:"target,omitempty"`
	Detail        string    `json:"detail,omitempty"`
}

// Recorder takes events. Time, Sequence, Daemon, Host and FailureDomain are
// filled in by the recorder.
type Recorder interface {
	Record(e Event)
}
