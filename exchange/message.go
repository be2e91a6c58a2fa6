// Package exchange implements the state exchange between daemons: liveness and
// readiness, the requested and served rates of client accounts, the work in
// flight at each target, and crash marks. Daemons that cannot reach the key-value
// service receive its content from their peers.
package exchange

import (
	"time"

	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
)

// Service is the net/rpc service name under which Receiver is registered.
const Service = "Exchange"

// Status is what a daemon reports about itself.
type Status struct {
	mirror.Member
	// Ready daemons accept new requests; leaving daemons only finish those that
	// they have.
	Ready, Leaving bool
	// Connected is whether the daemon's last call to the key-value service
	// succeeded.
	Connected bool
	// Room is the processor time that the daemon's host has left.
	Room Room
}

// withoutRoom returns the status without what changes with the load of the host.
func (s Status) withoutRoom() Status {
	s.Room = 0
	return s
}

// Message is the argument and the reply of a call between two daemons.
type Message struct {
	From Status
	// Era and Revision are the position of the sender's mirror of the key-value service.
	Era      port.Era
	Revision int64
	// ProofAge is the time since the mirror was last known to be complete.
	ProofAge time.Duration
	// Want asks the receiver for the changes after Revision.
	Want bool
	// Changes holds the changes after the caller's revision, in a reply to a call
	// with Want set.
	Changes []mirror.Change
	// Complete means that Changes holds all changes after the caller's revision. If
	// it is false in a reply with newer content, Entries holds the whole mirror.
	Complete bool
	Entries  []port.Entry
	// Version is the version of the configuration that the sender acts by, zero if it acts by none, or
	// if the key-value service states no era.
	Version uint64
	// Configuration is the entry of that configuration, in a reply to a daemon that acts by a lower
	// version and may not be able to read this one. Carried is what the sender acts by since the
	// service came back from a copy, in a reply while the receiver may lack it.
	Configuration *port.Entry
	Carried       []mirror.Carried
	Report        Report
	// Marks holds the newest crash marks and those that the receiver lacks, nil if the receiver
	// last stated that it has the same ones. MarksDigest is the digest of all that the sender
	// knows. MarkDigests are those of their parts, nil if the receiver has the same marks or the
	// sender has none.
	Marks       []quarantine.Mark
	MarksDigest uint64
	MarkDigests *quarantine.Digests
	// Segments is what the sender knows against prompt segments, empty if the receiver knows
	// the same. SegmentsDigest is the digest of all that the sender knows.
	Segments       quarantine.SegmentMarks
	SegmentsDigest uint64
	// Group aggregates the daemons of a hub's failure domain, the hub included. It
	// is nil if the sender reports only itself.
	Group *Group
	// Fleet aggregates all daemons in the reply of a hub to a daemon that is not a
	// hub. Its report excludes the load of the caller.
	Fleet *Group
	// Held is the digest of the last list of daemons that the sender received from
	// the receiver of this message. A list with this digest is not sent again.
	Held uint64
}

func (m Message) position() port.Position { return port.Position{Era: m.Era, Revision: m.Revision} }

// content returns what the message holds of the sender's mirror.
func (m Message) content() mirror.Content {
	return mirror.Content{
		Position: m.position(), Entries: m.Entries, Changes: m.Changes, Complete: m.Complete,
		Carried: m.Carried, Configuration: m.Configuration,
	}
}

// Group aggregates the state of several daemons.
type Group struct {
	// Domain is the failure domain of the daemons, empty for all failure domains.
	Domain string
	// Daemons lists the live daemons. It is nil if the receiver already holds the
	// list with this Digest.
	Daemons []Status
	Digest  uint64
	// Rooms holds the room of each daemon of the list with this Digest. It is sent with each
	// message, so that a change of the load doesn't make the list be sent again.
	Rooms  []Room
	Report Report
}
