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

// Served is the normalised service of one account.
type Served struct {
	Account string
	Value   float64
}

// Backlog is the state of one queue: its counter offset and how many daemons
// have requests waiting in it.
type Backlog struct {
	Queue   Queue
	Offset  float64
	Waiting int
}

// Report carries the entries of one writer that changed after the version that
// the receiver acknowledged. A receiver that has lost its state asks for
// version 0 and gets everything, so lost and repeated reports do no harm.
type Report struct {
	Writer   Source
	Since    uint64
	Version  uint64
	Served   []Served
	Backlogs []Backlog
}

// Ack names the last version of a writer that a receiver holds.
type Ack struct {
	Writer  Source
	Version uint64
}

// DomainReport is what one coordinator tells another about its own domain.
type DomainReport struct {
	Domain string
	Report Report
}
