package coordinator

import (
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/usage"
)

// Contact identifies the coordinator of a failure domain and its term.
type Contact struct {
	Name        string
	Incarnation string
	Domain      string
	Address     string
	// Term orders the coordinators of a domain. Its Revision is that of the
	// coordinator's record in the key-value service, and is the fencing token.
	// Minor counts the successors that took over while the platform was down.
	Term      member.Epoch
	Confirmed bool // the platform has confirmed the coordinator's lease
}

// runID identifies one run of the coordinator's process, independent of its
// term. It is empty for an empty contact.
func (c Contact) runID() string {
	if c.Name == "" {
		return ""
	}
	return c.Name + "/" + c.Incarnation
}

// isComplete reports whether the contact names a coordinator. That of a daemon that isn't one
// is empty.
func (c Contact) isComplete() bool { return c.Name != "" && c.Domain != "" }

// sameTerm reports whether both contacts are the same term of the same run.
func (c Contact) sameTerm(o Contact) bool { return c.runID() == o.runID() && c.Term == o.Term }

// Echo returns a coordinator's timestamp to it. The stamp counts nanoseconds on
// the coordinator's own clock and isn't comparable with that of another run.
type Echo struct {
	Coordinator string // name and incarnation, see runID
	Stamp       int64
}

// Seen names the last version of a daemon run's feed that the sender applied.
type Seen struct {
	Incarnation string
	Version     uint64
}

// HostReport is what a coordinator read from the host list.
type HostReport struct {
	Leaving []string // names of hosts, sorted
}

// TableEpoch is the version of one domain's table.
type TableEpoch struct {
	Domain string
	Epoch  member.Epoch
}

// Feed carries what changed at the sender after the version that the receiver
// has seen. A receiver with an older configuration gets the difference (Change)
// if the sender still holds that version, and the whole document otherwise.
type Feed struct {
	Incarnation   string
	Version       uint64
	Tables        []member.Table
	Contacts      []Contact
	Versions      []VersionReport
	Hosts         *HostReport
	Marks         []quarantine.Mark
	Configuration *config.Document
	Change        *config.Delta
}

// HeartbeatArgs is what a daemon reports to the coordinator that it follows.
type HeartbeatArgs struct {
	Name        string
	Incarnation string
	Domain      string
	Member      *member.Member // in the first heartbeat to a coordinator, or on its request
	Age         time.Duration  // of this run
	Leaving     bool
	Gone        bool // last message of this run
	Echo        Echo
	Follow      bool          // the daemon gives its follower lease to this coordinator
	Epoch       member.Epoch  // of the domain's table held
	Table       *member.Table // on the coordinator's request
	// Epochs are the versions of the tables held. The first message to a daemon
	// contains them, so that its reply omits these tables.
	Epochs  []TableEpoch
	Seen    Seen
	Version uint64 // of the configuration held
	Want    uint64 // the newest configuration version known to exist
	// Configuration is set if the coordinator's version is older.
	Configuration *config.Document
	Marks         []quarantine.Mark
	Usage         usage.Report
	Applied       usage.Ack
}

// HeartbeatReply is what a coordinator reports to a daemon that follows it. A
// daemon that isn't the caller's coordinator sets only Contact, Heard, Released,
// Reach, Version and Feed.
type HeartbeatReply struct {
	Coordinator bool          // the replying daemon is the coordinator of the caller's domain
	Contact     Contact       // the coordinator of the caller's domain, if known
	Heard       time.Duration // since the last contact with that coordinator
	Stamp       int64         // see Echo
	Accepted    bool          // the caller may grant Share as owner
	Share       member.Share
	Released    Contact       // a term given up by the replying daemon, which no longer uses its follower leases
	Reach       time.Duration // since the last contact with the platform or another domain
	WantMember  bool
	WantTable   bool
	Version     uint64 // of the configuration that the replying daemon holds
	Feed        Feed
	Source      usage.Source // of the coordinator's aggregate
	Ack         uint64       // version of the caller's usage report that Source holds, 0 to request a full one
	Usage       usage.Report // fleet totals without the caller's own, empty until they are restored
}

// ExchangeArgs is what one coordinator reports to another, as caller and, in
// ExchangeReply, as callee.
type ExchangeArgs struct {
	From    Contact
	Seen    Seen
	Version uint64
	Feed    Feed
	Usage   usage.DomainReport // empty until the sender's totals are restored
	Held    usage.Ack          // the version of the receiver's totals that the sender holds
}

// ExchangeReply is the callee's report.
type ExchangeReply struct {
	ExchangeArgs
}
