package setting

import "time"

// HostSettings holds the settings of a daemon that the platform provides for its
// host.
type HostSettings struct {
	Name          string
	IP            string
	FailureDomain string

	FrontendAddress  string
	ReadyAddress     string
	DirectoryAddress string
	LinkAddress      string
	// Seeds are the link addresses of other daemons.
	Seeds        []string
	StoreAddress string

	// MemoryMB is the memory limit of the daemon in MiB.
	MemoryMB int
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
	// MaxAddressTTL is the longest time for which callers may cache addresses.
	MaxAddressTTL time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
}
