package operator

import "rattanline.example/rattanline/timeline"

// Peer answers other daemons over the link; register it under PeerName.
type Peer struct {
	// Report returns the status of this daemon.
	Report func() StatusReply
	// RecordedEvents returns the events of this daemon that the filter lets through.
	RecordedEvents func(timeline.Filter) []timeline.Event
}

// PeerName is the link name of Peer.
const PeerName = "Peer"

// StatusArgs are the arguments of Peer.Status. Gob refuses empty structures.
type StatusArgs struct{ From string }

// StatusReply is what a daemon says of itself.
type StatusReply struct {
	Version     uint64 `json:"version"` // of its configuration
	State       string `json:"state"`   // such as "running", "stopping" or "isolated"
	Incarnation string `json:"incarnation"`
	Coordinator string `json:"coordinator"` // the one it follows
	Running     int    `json:"running"`     // requests in flight
	Queued      int    `json:"queued"`      // requests that wait for a slot
}

// Status implements the link method Peer.Status.
func (p *Peer) Status(_ StatusArgs, reply *StatusReply) error {
	*reply = p.Report()
	return nil
}

// EventsArgs are the arguments of Peer.Events. Limit bounds the number of events;
// zero means no bound.
type EventsArgs struct {
	Filter timeline.Filter
	Limit  int
}

// EventsReply is the reply of Peer.Events. Dropped counts the older events that
// the limit left out.
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
