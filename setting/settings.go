// Package setting defines the settings of a daemon in one table with the name, the
// default, the unit and the validator of each setting.
package setting

import (
	"time"

	"github.com/rs/zerolog"
)

// Settings holds the settings of one daemon. Reference returns a description of
// each field.
type Settings struct {
	Name          string
	Host          string
	FailureDomain string

	EntryAddress    string
	EntryURL        string
	LinkAddress     string
	LinkAdvertise   string
	OperatorAddress string
	TLS             TLS

	PlatformURL string
	HostListURL string
	Peers       []string

	ExchangeInterval time.Duration
	CoordinatorLease time.Duration
	OwnerLease       time.Duration
	FollowerLease    time.Duration
	SlotLease        time.Duration
	RenewInterval    time.Duration
	OrphanTime       time.Duration

	Slack         float64
	DemandFanOut  int
	LocalitySlack time.Duration
	RetryRatio    float64

	StopDeadline    time.Duration
	IsolationPolicy IsolationPolicy
	IsolationLimit  time.Duration
	EntriesTTL      time.Duration
	MaxBody         int64

	ClaimWriteRate int
	ClaimExpiry    time.Duration

	TimelineEvents int
	LogLevel       zerolog.Level
}

// TLSMode is the method by which links and operators are authenticated.
type TLSMode string

// The TLS modes.
const (
	Mutual TLSMode = "mutual" // both sides present certificates of the authority
	Plain  TLSMode = "plain"  // no authentication, loopback only
)

// TLS configures the listeners for links and operators.
type TLS struct {
	Mode        TLSMode
	Certificate string // name of a PEM file
	Key         string // name of a PEM file
	Authority   string // name of a PEM file
}

// IsolationPolicy is the behavior of a daemon that reaches neither the platform nor
// any other failure domain.
type IsolationPolicy string

// The isolation policies.
const (
	Refuse IsolationPolicy = "refuse" // refuse new requests, because a drain may not have been received
	Serve  IsolationPolicy = "serve"  // continue to accept new requests, for sites with a single failure domain
)
