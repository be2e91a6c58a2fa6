package config

import "strings"

// Repeat is the policy for running a route's requests more than once.
type Repeat string

// The repeat policies.
const (
	RepeatAny    Repeat = "any"    // requests are idempotent and may run more than once
	RepeatNever  Repeat = "never"  // requests may run at most once
	RepeatResume Repeat = "resume" // another attempt may resume an interrupted stream
)

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name       string   `yaml:"name" json:"name"`
	Host       string   `yaml:"host" json:"host"`
	PathPrefix string   `yaml:"path-prefix" json:"path-prefix"`
	Repeat     Repeat   `yaml:"repeat" json:"repeat"`
	Stream     bool     `yaml:"stream,omitempty" json:"stream,omitempty"`
	Timeout    Duration `yaml:"timeout" json:"timeout"`
	// LatencyAim is the latency objective: the time to the response, or to the first
	// event of a stream, within which a response has its full value.
	LatencyAim Duration `yaml:"latency-aim,omitempty" json:"latency-aim,omitempty"`
	// PauseAim is the longest time between two events of a stream with which the response has
	// its full value.
	PauseAim Duration `yaml:"pause-aim,omitempty" json:"pause-aim,omitempty"`
	// Priority orders the requests that wait for a target; those with zero go first.
	Priority    int `yaml:"priority,omitempty" json:"priority,omitempty"`
	MaxAttempts int `yaml:"max-attempts" json:"max-attempts"`
	// Public is true if requests need no key.
	Public bool `yaml:"public,omitempty" json:"public,omitempty"`
	// Prompts is true if requests name the segments of their prompt.
	Prompts bool    `yaml:"prompts,omitempty" json:"prompts,omitempty"`
	Split   []Share `yaml:"split" json:"split"`
}

// Share is the fraction of a route's requests that goes to a service. Weights are
// relative to the total weight of the route's split.
type Share struct {
	Service string  `yaml:"service" json:"service"`
	Weight  float64 `yaml:"weight" json:"weight"`
}

// Service returns the service of a request, or "" if the route has no split. The
// point, a number in [0, 1), selects a service in proportion to the weights.
func (r Route) Service(point float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Limits bounds what callers may send. Zero means that operators set no bound.
type Limits struct {
	MaxHeaderBytes int      `yaml:"max-header-bytes,omitempty" json:"max-header-bytes,omitempty"`
	MaxBodyBytes   int64    `yaml:"max-body-bytes,omitempty" json:"max-body-bytes,omitempty"`
	HeaderTimeout  Duration `yaml:"header-timeout,omitempty" json:"header-timeout,omitempty"`
	IdleTimeout    Duration `yaml:"idle-timeout,omitempty" json:"idle-timeout,omitempty"`
	// TokenRate is the total throughput of all engines in tokens per second. A prompt
	// token counts once, a generated token twice.
	TokenRate float64 `yaml:"token-rate,omitempty" json:"token-rate,omitempty"`
}

// Connection holds the limits of the traffic to each target of a service, and the
// path of its health check.
type Connection struct {
	// MaxConnections is the number of connections that a target accepts from all
	// daemons together.
	MaxConnections int    `yaml:"max-connections,omitempty" json:"max-connections,omitempty"`
	HealthPath     string `yaml:"health-path,omitempty" json:"health-path,omitempty"`
	// ColdTime is how long a target is cold after a start.
	ColdTime Duration `yaml:"cold-time,omitempty" json:"cold-time,omitempty"`
	// ColdRate is the maximum rate of a cold target in requests per second; zero
	// means no bound.
	ColdRate float64 `yaml:"cold-rate,omitempty" json:"cold-rate,omitempty"`
}

// Route returns the host's route with the longest prefix of the path. If the host
// as given has no routes, it is looked up without its port and in lower case.
func (x *Index) Route(host, path string) (Route, bool) {
	routes := x.routes[host]
	if routes == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			host = host[:i]
		}
		routes = x.routes[strings.ToLower(host)]
	}
	// Prefixes end with a slash, so only prefixes of the path that end with a slash
	// can match.
	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			break
		}
		if r, ok := routes[path[:i+1]]; ok {
			return r, true
		}
		end = i
	}
	return Route{}, false
}
