package usage

// Source identifies one run of one daemon, the single writer of a contribution.
type Source struct {
	Daemon      string
	Incarnation string
}

// Queue identifies the queue of one client account for one service.
type Queue struct {
	Service string
	Account string
}

// Served is the normalised service that one account received.
type Served struct {
	Account string
	Value   float64
}

// Backlog is the state of one queue: its counter offset and the number of daemons
// that have requests waiting in it.
type Backlog struct {
	Queue   Queue
	Offset  float64
	Waiting int
}

// Report carries the entries of one writer that changed after version Since, which
// the receiver acknowledged, up to Version. A receiver that has lost its state
// acknowledges version 0 and gets a full report, so lost and repeated reports have
// no effect on the totals.
type Report struct {
	Writer   Source
	Since    uint64
	Version  uint64
	Served   []Served
	Backlogs []Backlog
}

// Ack is the last version of a writer's entries that a receiver holds.
type Ack struct {
	Writer  Source
	Version uint64
}

// DomainReport is a coordinator's report of its own domain to another coordinator.
type DomainReport struct {
	Domain string
	Report Report
}
