package setting

import "time"

// HostSettings holds the settings of a daemon of package edge. The platform provides
// them for each of its hosts; daemons of package daemon use Settings instead.
type HostSettings struct {
	Name          string
	IP            string
	FailureDomain string

	FrontendAddress  string // serves callers
	ReadyAddress     string // serves the readiness check
	DirectoryAddress string // returns frontend addresses to callers
	LinkAddress      string // serves links from other daemons
	// OverflowAddress serves connections of callers that other daemons pass on; empty
	// disables it.
	OverflowAddress string
	// Seeds are the link addresses of other daemons.
	Seeds        []string
	StoreAddress string // of the platform's metadata store

	// MemoryMB is the memory limit of the daemon in MiB.
	MemoryMB int
	// BoundSlowReaders states that callers and targets may read slowly: what is held for them
	// counts toward the memory of the daemon, and the requests that a target holds toward that
	// of the target.
	BoundSlowReaders bool
	// Contended states that callers may ask for more than the targets can do: requests to
	// targets that are no engines wait for room, and a jump of an account's rate counts at once.
	Contended bool
	// Cores is the processor time that the host provides, in cores.
	Cores float64
	// GraceTime is how long the daemon may run after it is asked to stop.
	GraceTime time.Duration
	// RevokeTime is the longest time for which a key may still be used after its
	// removal; zero means no bound.
	RevokeTime time.Duration
	// RetryRatio is the maximum ratio of retries to requests over all daemons.
	RetryRatio float64
	// RetryWindow is the time over which requests and retries are counted.
	RetryWindow time.Duration
	// RetrySlack is the number of retries that all daemons together may make in a
	// RetryWindow in addition to RetryRatio.
	RetrySlack float64
	// DeliveryDelay is how late an event of a stream may reach its caller.
	DeliveryDelay time.Duration
	// MaxAddressTTL is the longest time for which callers may cache addresses; zero
	// means no limit.
	MaxAddressTTL time.Duration
	// ExposureShare is the maximum share of the requests to a service that a bad version may
	// get in its roll-out, zero if none is set. ExposureSlack is the number of requests that it
	// may get in addition.
	ExposureShare, ExposureSlack float64
	// RollbackTime is how long after it proves to be bad a version may still get requests.
	RollbackTime time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
}
