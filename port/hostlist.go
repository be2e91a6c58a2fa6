package port

import "context"

// HostState is the state of a host as listed by the platform. It lags behind the
// actual state.
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
