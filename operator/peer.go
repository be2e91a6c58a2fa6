package operator

import "rattanline.example/rattanline/timeline"

// Peer answers the status and event queries of other daemons over the link. It must
// be registered under PeerName.
type Peer struct {
	// Report returns the status of this daemon.
	Report func() StatusReply
	// RecordedEvents returns the events of this daemon that match the filter.
	RecordedEvents func(timeline.Filter) []timeline.Event
}

// PeerName is the name under which a Peer is registered with the link.
const PeerName = "Peer"

// StatusArgs are the arguments of Peer.Status. It has a field because gob rejects
// structs without exported fields.
type StatusArgs struct{ From string }

// StatusReply is the status of a daemon, as reported by itself.
type StatusReply struct {
	Version     uint64 `json:"version"` // version of the configuration in force
	State       string `json:"state"`   // "starting", "running", "isolated" or "stopping"
	Incarnation string `json:"incarnation"`
	// Coordinator is the name of the coordinator that the daemon follows, with the
	// suffix " (unconfirmed)" if the platform doesn't confirm its lease. It is empty if
	// the daemon has none.
	Coordinator string `json:"coordinator"`
	Running     int    `json:"running"` // number of requests in flight
	Queued      int    `json:"queued"`  // number of requests that wait for a slot
}

// Status implements the link method Peer.Status.
func (p *Peer) Status(_ StatusArgs, reply *StatusReply) error {
	*reply = p.Report()
	return nil
}

// EventsArgs are the arguments of Peer.Events. Limit is the maximum number of
// events; zero means no limit.
type EventsArgs struct {
	Filter timeline.Filter
	Limit  int
}

// EventsReply is the reply of Peer.Events. Dropped is the number of older events
// omitted because of the limit.
type EventsReply struct {
	Events  []timeline.Event
	Dropped int
}

// Events implements the link method Peer.Events.
func (p *Peer) Events(args EventsArgs, reply *EventsReply) error {
	reply.Events = p.RecordedEvents(args.Filter)
	if extra := len(reply.Events) - args.Limit; args.Limit > 0 && extra > 0 {
		reply.Events, reply.Dropped = reply.Events[extra:], extra
	}
	return nil
}
