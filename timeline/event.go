// Package timeline records the events of each daemon and merges those of all
// daemons into one ordered time line.
package timeline

import "time"

// Event is one entry in the time line of a daemon. Fields that do not apply are
// empty.
type Event struct {
	Time          time.Time `json:"time"`
	Sequence      uint64    `json:"sequence"` // position among the daemon's events, from 1
	Daemon        string    `json:"daemon"`
	Host          string    `json:"host,omitempty"`
	FailureDomain string    `json:"failure-domain,omitempty"`
	Kind          string    `json:"kind"` // kebab case, such as "slot-granted"
	Request       string    `json:"request,omitempty"`
	Account       string    `json:"account,omitempty"`
	Target        string    `json:"target,omitempty"`
	Detail        string    `json:"detail,omitempty"`
}

// Recorder records events. It sets their Time, Sequence, Daemon, Host and
// FailureDomain.
type Recorder interface {
	Record(e Event)
}
