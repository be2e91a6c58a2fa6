package port

import "context"

// HostState is what the platform says of a host. It lags behind the truth.
type HostState string

// The states of listed hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostList reads the platform's list of hosts by name.
type HostList interface {
	Hosts(ctx context.Context) (map[string]HostState, error)
}
