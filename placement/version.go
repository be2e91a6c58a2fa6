package placement

import (
	"time"

	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
)

// Versions decides which versions of a service's targets get which requests while the version
// changes.
type Versions interface {
	// InUse reports whether requests may be sent to the target.
	InUse(t mirror.Target) bool
	// Preferred returns the tests that the target of the job must pass, in the order in which
	// they are tried. It returns nil if any target that is in use will do.
	Preferred(job port.Job) []func(mirror.Target) bool
	// Assigned is called when the job has a target, and Ended when its attempt there has ended.
	Assigned(job port.Job, t mirror.Target)
	Ended(job port.Job, c Choice, a port.Attempt)
}

// anyVersion allows all targets.
var anyVersion = []func(mirror.Target) bool{nil}

// versionTests returns the tests that the target of the job must pass, in the order in which they
// are tried. A nil test allows all targets.
func (s *Scheduler) versionTests(job port.Job) []func(mirror.Target) bool {
	if s.Table.Versions != nil {
		if tests := s.Table.Versions.Preferred(job); tests != nil {
			return tests
		}
	}
	return anyVersion
}

// decideVersion decides about a request to targets that are no engines, of the first version with
// one that has room or is asked for it. It answers a new version that hangs: its few targets are
// full, and requests don't wait for them while others have room.
func (s *Scheduler) decideVersion(job port.Job, limit time.Duration) Verdict {
	q := s.query(job)
	var verdict Verdict = Unusable{}
	for _, q.Allowed = range s.versionTests(job) {
		switch v := s.Table.DecidePlain(q, limit).(type) {
		case Send, Ask:
			return v
		case Hold:
			verdict = v
		case Unusable:
		}
	}
	return verdict
}
