// Package config holds the configuration that operators submit: the client
// accounts, services, failure domains and targets of the fleet.
package config

import "time"

// Document is one version of the configuration. Values are immutable: the With
// methods return changed copies.
type Document struct {
	// Version is assigned when the document is accepted; zero before that.
	Version        uint64          `yaml:"version,omitempty" json:"version,omitempty"`
	Accounts       []Account       `yaml:"accounts" json:"accounts"`
	Services       []Service       `yaml:"services" json:"services"`
	FailureDomains []FailureDomain `yaml:"failure-domains" json:"failure-domains"`
	Targets        []Target        `yaml:"targets" json:"targets"`
	// Routes and Limits are set where callers choose a service by host and path.
	Routes []Route `yaml:"routes,omitempty" json:"routes,omitempty"`
	Limits Limits  `yaml:"limits,omitempty" json:"limits,omitzero"`
}

// Account is a client account and its fair share of the common capacity.
type Account struct {
	Name     string   `yaml:"name" json:"name"`
	Share    float64  `yaml:"share" json:"share"`
	Services []string `yaml:"services" json:"services"`
	// KeyDigests are lower-case hex SHA-256 digests of the bearer keys.
	KeyDigests []string `yaml:"key-digests" json:"key-digests"`
	// MaxQueued bounds the requests that wait in one daemon; zero means 256.
	MaxQueued int `yaml:"max-queued,omitempty" json:"max-queued,omitempty"`
	// MaxQueuedBytes bounds their bodies; zero means 16 MiB.
	MaxQueuedBytes int64 `yaml:"max-queued-bytes,omitempty" json:"max-queued-bytes,omitempty"`
	// Priority goes before that of a route; nil means that the route's counts.
	Priority *int `yaml:"priority,omitempty" json:"priority,omitempty"`
}

// Kind tells how the requests of a service are carried.
type Kind string

// The kinds of service.
const (
	Model Kind = "model" // OpenAI chat completions with SSE
	Plain Kind = "plain" // plain HTTP
)

// Price is the cost of the work of a service in the operators' common unit.
type Price struct {
	Request     float64 `yaml:"request,omitempty" json:"request,omitempty"`
	InputToken  float64 `yaml:"input-token,omitempty" json:"input-token,omitempty"`
	OutputToken float64 `yaml:"output-token,omitempty" json:"output-token,omitempty"`
}

// Service is something client accounts call, run by one or more targets.
type Service struct {
	Name  string `yaml:"name" json:"name"`
	Kind  Kind   `yaml:"kind" json:"kind"`
	Price Price  `yaml:"price" json:"price"`
	// Idempotent allows retries of all its calls; calls by GET, HEAD, PUT,
	// DELETE and OPTIONS are idempotent without it.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Timeout bounds one request from its arrival to its last byte.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// NotRunStatuses are the target's statuses that are trusted to mean that
	// the request was not run.
	NotRunStatuses []int `yaml:"not-run-statuses,omitempty" json:"not-run-statuses,omitempty"`
	// Resume tells that its engines resume a stream after a given event id.
	Resume bool `yaml:"resume,omitempty" json:"resume,omitempty"`
	// Connection bounds the traffic to each of its targets.
	Connection Connection `yaml:"connection,omitempty" json:"connection,omitzero"`
}

// FailureDomain is a zone that fails, or is taken out of service, as a whole.
type FailureDomain struct {
	Name    string `yaml:"name" json:"name"`
	Region  string `yaml:"region" json:"region"`
	Drained bool   `yaml:"drained,omitempty" json:"drained,omitempty"`
}

// Target is one server that runs requests of a service.
type Target struct {
	Name          string `yaml:"name" json:"name"`
	Service       string `yaml:"service" json:"service"`
	FailureDomain string `yaml:"failure-domain" json:"failure-domain"`
	URL           string `yaml:"url" json:"url"`
	// Host is its name in the host list; empty for targets not listed there.
	Host string `yaml:"host,omitempty" json:"host,omitempty"`
	// ColdLimit is the number of requests that it can run right after a start.
	ColdLimit int `yaml:"cold-limit" json:"cold-limit"`
	// MaxLimit is the number of requests that it may ever run at once.
	MaxLimit int `yaml:"max-limit" json:"max-limit"`
	// Leaving marks a target that gets no new work.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	// ChecksFencing tells that it rejects commands with an old fencing token. It
	// has no effect yet, because no commands are sent to targets.
	ChecksFencing bool `yaml:"checks-fencing,omitempty" json:"checks-fencing,omitempty"`
}

// Duration is a time.Duration written like "30s" in YAML and JSON.
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// UnmarshalText reads a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
