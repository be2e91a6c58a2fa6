// Package config holds the configuration that operators submit: the client
// accounts, services, failure domains and targets of the fleet.
package config

import "time"

// Document is one version of the configuration. Documents are treated as
// immutable: the With methods return modified copies.
type Document struct {
	// Version is assigned when the document is accepted and zero before.
	Version        uint64          `yaml:"version,omitempty" json:"version,omitempty"`
	Accounts       []Account       `yaml:"accounts" json:"accounts"`
	Services       []Service       `yaml:"services" json:"services"`
	FailureDomains []FailureDomain `yaml:"failure-domains" json:"failure-domains"`
	Targets        []Target        `yaml:"targets" json:"targets"`
	// Routes is only set in fleets whose callers select a service by host and path.
	Routes []Route `yaml:"routes,omitempty" json:"routes,omitempty"`
	// Limits is only set in fleets whose callers select a service by host and path.
	Limits Limits `yaml:"limits,omitempty" json:"limits,omitzero"`
}

// Account is a client account and its fair share of the fleet's capacity.
type Account struct {
	Name     string   `yaml:"name" json:"name"`
	Share    float64  `yaml:"share" json:"share"`
	Services []string `yaml:"services" json:"services"`
	// KeyDigests are lower-case hex SHA-256 digests of the bearer keys.
	KeyDigests []string `yaml:"key-digests" json:"key-digests"`
	// MaxQueued bounds the requests queued in one daemon; zero means 256.
	MaxQueued int `yaml:"max-queued,omitempty" json:"max-queued,omitempty"`
	// MaxQueuedBytes bounds the total size of the request bodies queued in one
	// daemon; zero means 16 MiB.
	MaxQueuedBytes int64 `yaml:"max-queued-bytes,omitempty" json:"max-queued-bytes,omitempty"`
	// Priority overrides the priority of the route; nil means no override.
	Priority *int `yaml:"priority,omitempty" json:"priority,omitempty"`
}

// Kind is the protocol of a service's requests.
type Kind string

// The kinds of service.
const (
	Model Kind = "model" // OpenAI chat completions with SSE
	Plain Kind = "plain" // plain HTTP
)

// Price is the cost of a service's work. Operators choose the unit, which is the
// same for all services.
type Price struct {
	Request     float64 `yaml:"request,omitempty" json:"request,omitempty"`
	InputToken  float64 `yaml:"input-token,omitempty" json:"input-token,omitempty"`
	OutputToken float64 `yaml:"output-token,omitempty" json:"output-token,omitempty"`
}

// Service is a named endpoint that client accounts call and one or more targets
// serve.
type Service struct {
	Name  string `yaml:"name" json:"name"`
	Kind  Kind   `yaml:"kind" json:"kind"`
	Price Price  `yaml:"price" json:"price"`
	// Idempotent allows retries of all its calls; calls by GET, HEAD, PUT,
	// DELETE and OPTIONS are idempotent without it.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Timeout bounds one request from its arrival to the last byte of its response;
	// zero means DefaultTimeout.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// NotRunStatuses are the HTTP statuses of a target that are trusted to mean that
	// the request was not run.
	NotRunStatuses []int `yaml:"not-run-statuses,omitempty" json:"not-run-statuses,omitempty"`
	// Resume is true if the service's engines can resume a stream after a given event
	// ID.
	Resume bool `yaml:"resume,omitempty" json:"resume,omitempty"`
	// Connection applies to each target of the service.
	Connection Connection `yaml:"connection,omitempty" json:"connection,omitzero"`
	// Engine is only set in fleets whose operators declare what the engines can do.
	Engine Engine `yaml:"engine,omitempty" json:"engine,omitzero"`
}

// Engine is what operators declare about each inference engine of a service. Zero means that a
// value isn't declared.
type Engine struct {
	// MemoryTokens is the number of tokens that it holds, of running requests and cached ones.
	MemoryTokens int `yaml:"memory-tokens,omitempty" json:"memory-tokens,omitempty"`
	// CopyRate is the rate at which it copies cached tokens from another engine, in tokens per
	// second.
	CopyRate float64 `yaml:"copy-rate,omitempty" json:"copy-rate,omitempty"`
}

// FailureDomain is a part of the fleet that fails, or is taken out of service, as
// a whole.
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
	// Host is the name of the target's host in the platform's host list; empty if it
	// is not listed there.
	Host string `yaml:"host,omitempty" json:"host,omitempty"`
	// ColdLimit is the number of requests that the target can run concurrently right
	// after a start.
	ColdLimit int `yaml:"cold-limit" json:"cold-limit"`
	// MaxLimit is the maximum number of requests that the target may run
	// concurrently at any time.
	MaxLimit int `yaml:"max-limit" json:"max-limit"`
	// Leaving excludes the target from new requests.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	// ChecksFencing is true if the target rejects commands with an outdated fencing
	// token. It has no effect yet, because no commands are sent to targets.
	ChecksFencing bool `yaml:"checks-fencing,omitempty" json:"checks-fencing,omitempty"`
}

// Duration is a time.Duration written like "30s" in YAML and JSON.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText formats the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// UnmarshalText parses a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
