// Package setting holds the settings of a daemon: one table with the name, the
// default, the unit and the validator of each.
package setting

import (
	"time"

	"github.com/rs/zerolog"
)

// Settings of one daemon. Table describes each field.
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

// TLSMode tells how links and operators are authenticated.
type TLSMode string

// The modes of authentication.
const (
	Mutual TLSMode = "mutual" // both sides present certificates of the authority
	Plain  TLSMode = "plain"  // no authentication, loopback only
)

// TLS is used by the listeners for links and operators.
type TLS struct {
	Mode        TLSMode
	Certificate string // file names
	Key         string
	Authority   string
}

// IsolationPolicy tells what a daemon does that reaches neither the platform
// nor any other failure domain.
type IsolationPolicy string

// The isolation policies.
const (
	Refuse IsolationPolicy = "refuse" // refuse new work, so that an unseen drain holds
	Serve  IsolationPolicy = "serve"  // continue, for sites with a single failure domain
)
