package coordinator

import (
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/usage"
)

// Contact tells who is the coordinator of a failure domain.
type Contact struct {
	Name        string
	Incarnation string
	Domain      string
	Address     string
	// Term orders the coordinators of a domain. Revision is the one of the
	// record in the key-value service and the fencing token; Minor counts the
	// successors that took over while the platform was down.
	Term      member.Epoch
	Confirmed bool
}

// runID identifies one runID of the coordinator's process, whatever its term.
func (c Contact) runID() string {
	if c.Name == "" {
		return ""
	}
	return c.Name + "/" + c.Incarnation
}

// sameTerm tells whether both are one term of one run.
func (c Contact) sameTerm(o Contact) bool { return c.runID() == o.runID() && c.Term == o.Term }

// Echo returns a coordinator's timestamp to it. The stamp is in the
// coordinator's own clock and means nothing to others.
type Echo struct {
	Coordinator string
	Stamp       int64
}

// Seen names the last version of a daemon run's feed that the sender applied.
type Seen struct {
	Incarnation string
	Version     uint64
}

// HostReport is a coordinator's reading of the host list.
type HostReport struct {
	Leaving []string
}

// TableEpoch names the version of one domain's table.
type TableEpoch struct {
	Domain string
	Epoch  member.Epoch
}

// Feed carries what changed at the sender after the version that the receiver
// has seen. A receiver with an older configuration gets a change if the sender
// still holds that version, and the whole document otherwise.
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

// HeartbeatArgs is what a daemon tells the coordinator that it follows.
type HeartbeatArgs struct {
	Name        string
	Incarnation string
	Domain      string
	Member      *member.Member // when the coordinator asked for it
	Age         time.Duration  // of this run
	Leaving     bool
	Gone        bool // the last message of this run
	Echo        Echo
	Follow      bool // the daemon's follower lease is for this coordinator
	Epoch       member.Epoch
	Table       *member.Table // when the coordinator asked for it
	// Epochs are the tables held, told in the first message to a daemon, which
	// needn't send them again.
	Epochs  []TableEpoch
	Seen    Seen
	Version uint64 // of the configuration held
	Want    uint64 // the version that the daemon has heard of
	// Configuration is sent when the coordinator's version is older.
	Configuration *config.Document
	Marks         []quarantine.Mark
	Usage         usage.Report
	Applied       usage.Ack
}

// HeartbeatReply is what a coordinator tells a daemon that follows it. Another
// daemon sets only Contact, Feed and Reach.
type HeartbeatReply struct {
	Coordinator bool
	Contact     Contact // the coordinator of the caller's domain, if known
	Heard       time.Duration
	Stamp       int64
	Accepted    bool
	Share       member.Share
	Released    Contact // a term given up by the replying daemon, which uses its leases no longer
	Reach       time.Duration
	WantMember  bool
	WantTable   bool
	Version     uint64 // of the configuration that the replying daemon holds
	Feed        Feed
	Source      usage.Source
	Ack         uint64
	Usage       usage.Report
}

// ExchangeArgs is what one coordinator tells another, in both directions.
type ExchangeArgs struct {
	From    Contact
	Seen    Seen
	Version uint64
	Feed    Feed
	Usage   usage.DomainReport // empty until the sender's totals are restored
	Held    usage.Ack          // what the sender holds of the receiver's domain
}

// ExchangeReply has the same content as the arguments.
type ExchangeReply struct {
	ExchangeArgs
}
