package setting

import (
	"time"

	"github.com/rs/zerolog"
)

// row describes one setting. A required setting has no default: the file must give
// its value.
type row struct {
	name         string
	defaultValue string // in the notation of the file; empty if there is none
	unit         string
	description  string
	required     bool
	set          setter
}

// table lists all settings in the order of the reference.
var table = []row{
	{
		"name", "", "name", "unique in the fleet, kept over restarts", true,
		text(func(s *Settings) *string { return &s.Name }, isName),
	},
	{
		"host", "", "name", "name of this host in the platform's host list", true,
		text(func(s *Settings) *string { return &s.Host }, isName),
	},
	{
		"failure-domain", "", "name", "failure domain of this host", true,
		text(func(s *Settings) *string { return &s.FailureDomain }, isName),
	},

	{
		"entry-address", "", "host:port", "listener for callers", true,
		text(func(s *Settings) *string { return &s.EntryAddress }, isListenAddress),
	},
	{
		"entry-url", "", "URL", "how callers reach the entry address", true,
		text(func(s *Settings) *string { return &s.EntryURL }, isURL),
	},
	{
		"link-address", "", "host:port", "listener for other daemons", true,
		text(func(s *Settings) *string { return &s.LinkAddress }, isListenAddress),
	},
	{
		"link-advertise", "", "host:port", "how other daemons reach the link address", true,
		text(func(s *Settings) *string { return &s.LinkAdvertise }, isAddress),
	},
	{
		"operator-address", "", "host:port", "listener for operators", true,
		text(func(s *Settings) *string { return &s.OperatorAddress }, isListenAddress),
	},
	{
		"tls-mode", "mutual", "mutual, plain", "authentication of links and operators; plain only on loopback", false,
		text(func(s *Settings) *TLSMode { return &s.TLS.Mode }, oneOf(Mutual, Plain)),
	},
	{
		"tls-certificate", "", "file", "certificate for links and operators, PEM", false,
		text(func(s *Settings) *string { return &s.TLS.Certificate }, anyText),
	},
	{
		"tls-key", "", "file", "private key of the certificate, PEM", false,
		text(func(s *Settings) *string { return &s.TLS.Key }, anyText),
	},
	{
		"tls-authority", "", "file", "authority of the peers' certificates, PEM", false,
		text(func(s *Settings) *string { return &s.TLS.Authority }, anyText),
	},

	{
		"platform-url", "", "URL", "key-value service", true,
		text(func(s *Settings) *string { return &s.PlatformURL }, isURL),
	},
	{
		"host-list-url", "", "URL", "host list; empty: none", false,
		text(func(s *Settings) *string { return &s.HostListURL }, optional(isURL)),
	},
	{
		"peers", "[]", "host:port list", "link addresses to ask when the platform is down", false,
		list(func(s *Settings) *[]string { return &s.Peers }, isAddress),
	},

	{
		"exchange-interval", "200ms", "duration", "time between heartbeats and exchanges of counters", false,
		duration(func(s *Settings) *time.Duration { return &s.ExchangeInterval }, 10*time.Millisecond),
	},
	{
		"coordinator-lease", "5s", "duration", "time to live of the coordinator's lease at the platform, whole seconds", false,
		wholeSeconds(func(s *Settings) *time.Duration { return &s.CoordinatorLease }, 2*time.Second),
	},
	{
		"owner-lease", "3s", "duration", "how long a heartbeat allows a daemon to act as owner", false,
		duration(func(s *Settings) *time.Duration { return &s.OwnerLease }, 100*time.Millisecond),
	},
	{
		"follower-lease", "6s", "duration", "promise not to follow another coordinator, at least twice the owner lease", false,
		duration(func(s *Settings) *time.Duration { return &s.FollowerLease }, 100*time.Millisecond),
	},
	{
		"slot-lease", "3s", "duration", "how long a holder uses slots after a renewal", false,
		duration(func(s *Settings) *time.Duration { return &s.SlotLease }, 100*time.Millisecond),
	},
	{
		"renew-interval", "1s", "duration", "time between renewals of slots", false,
		duration(func(s *Settings) *time.Duration { return &s.RenewInterval }, 10*time.Millisecond),
	},
	{
		"orphan-time", "10s", "duration", "how long slots of a silent holder count as in use", false,
		duration(func(s *Settings) *time.Duration { return &s.OrphanTime }, 0),
	},

	{
		"slack", "2", "mean requests", "how far above the floor a holder keeps a slot, besides what the exchange does not show yet", false,
		number(func(s *Settings) *float64 { return &s.Slack }, 0, 1e12),
	},
	{
		"demand-fan-out", "16", "owners", "owners per service that a daemon registers demand with", false,
		integer(func(s *Settings) *int { return &s.DemandFanOut }, 1, 4096),
	},
	{
		"locality-slack", "5ms", "duration", "extra wait accepted for a target of the own failure domain", false,
		duration(func(s *Settings) *time.Duration { return &s.LocalitySlack }, 0),
	},
	{
		"retry-ratio", "0.1", "share of requests", "retries allowed for each request", false,
		number(func(s *Settings) *float64 { return &s.RetryRatio }, 0, 1),
	},

	{
		"stop-deadline", "60s", "duration", "time for a graceful stop", false,
		duration(func(s *Settings) *time.Duration { return &s.StopDeadline }, time.Second),
	},
	{
		"isolation-policy", "refuse", "refuse, serve", "whether an isolated daemon refuses new work", false,
		text(func(s *Settings) *IsolationPolicy { return &s.IsolationPolicy }, oneOf(Refuse, Serve)),
	},
	{
		"isolation-limit", "5s", "duration", "time without contact after which a daemon is isolated", false,
		duration(func(s *Settings) *time.Duration { return &s.IsolationLimit }, 100*time.Millisecond),
	},
	{
		"entries-ttl", "10s", "duration", "how long callers may cache the entries, whole seconds", false,
		wholeSeconds(func(s *Settings) *time.Duration { return &s.EntriesTTL }, time.Second),
	},
	{
		"max-body", "8MiB", "size", "largest body of a request", false,
		size(func(s *Settings) *int64 { return &s.MaxBody }, 1<<10, 1<<30),
	},

	{
		"claim-write-rate", "8", "writes/s", "writes of claims for each shard", false,
		integer(func(s *Settings) *int { return &s.ClaimWriteRate }, 1, 1000),
	},
	{
		"claim-expiry", "10m", "duration", "how long an idempotency key is remembered", false,
		duration(func(s *Settings) *time.Duration { return &s.ClaimExpiry }, time.Second),
	},

	{
		"timeline-events", "4096", "events", "events kept for the time line", false,
		integer(func(s *Settings) *int { return &s.TimelineEvents }, 1, 1<<20),
	},
	{
		"log-level", "info", "debug, info, warn, error", "least severe level that is logged", false,
		logLevel(func(s *Settings) *zerolog.Level { return &s.LogLevel }),
	},
}
