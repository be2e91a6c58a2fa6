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
	// Seeds are link addresses of other daemons.
	Seeds        []string
	StoreAddress string

	MemoryMB int
	// Cores is the processor time that the machine provides, in cores.
	Cores float64
	// GraceTime is how long the daemon may run after it was told to stop.
	GraceTime time.Duration
	// RevokeTime is how long after its removal a key may still be used at most;
	// zero if that has no bound.
	RevokeTime time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all daemons.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// DeliveryDelay is how late an event of a stream may reach its caller.
	DeliveryDelay time.Duration
	// MaxAddressTTL is the longest time that callers keep addresses.
	MaxAddressTTL time.Duration
	// MinLease is the shortest lease of the store.
	MinLease time.Duration
}
