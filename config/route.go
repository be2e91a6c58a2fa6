package config

import "strings"

// Repeat tells what of a route's requests may be run again.
type Repeat string

// The kinds of route.
const (
	RepeatAny    Repeat = "any"    // idempotent: may run more than once
	RepeatNever  Repeat = "never"  // may run at most once
	RepeatResume Repeat = "resume" // a stream that another run may continue
)

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name       string   `yaml:"name" json:"name"`
	Host       string   `yaml:"host" json:"host"`
	PathPrefix string   `yaml:"path-prefix" json:"path-prefix"`
	Repeat     Repeat   `yaml:"repeat" json:"repeat"`
	Stream     bool     `yaml:"stream,omitempty" json:"stream,omitempty"`
	Timeout    Duration `yaml:"timeout" json:"timeout"`
	// LatencyAim is the time to the response, or to the first event of a stream,
	// within which it earns its full worth.
	LatencyAim Duration `yaml:"latency-aim,omitempty" json:"latency-aim,omitempty"`
	// Priority orders what waits for a target; zero goes first.
	Priority    int `yaml:"priority,omitempty" json:"priority,omitempty"`
	MaxAttempts int `yaml:"max-attempts" json:"max-attempts"`
	// Public routes need no key.
	Public bool `yaml:"public,omitempty" json:"public,omitempty"`
	// Prompts tells that requests name the parts of their prompt.
	Prompts bool    `yaml:"prompts,omitempty" json:"prompts,omitempty"`
	Split   []Share `yaml:"split" json:"split"`
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string  `yaml:"service" json:"service"`
	Weight  float64 `yaml:"weight" json:"weight"`
}

// Service returns the service of a request, where point in [0, 1) is its place
// in the split.
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

// Limits bound what callers may send. Zero means no bound of the operators.
type Limits struct {
	MaxHeaderBytes int      `yaml:"max-header-bytes,omitempty" json:"max-header-bytes,omitempty"`
	MaxBodyBytes   int64    `yaml:"max-body-bytes,omitempty" json:"max-body-bytes,omitempty"`
	HeaderTimeout  Duration `yaml:"header-timeout,omitempty" json:"header-timeout,omitempty"`
	IdleTimeout    Duration `yaml:"idle-timeout,omitempty" json:"idle-timeout,omitempty"`
	// TokenRate is the tokens per second that all engines do together: each
	// token read counts once, each token generated twice.
	TokenRate float64 `yaml:"token-rate,omitempty" json:"token-rate,omitempty"`
}

// Connection bounds the traffic to each target of a service.
type Connection struct {
	// MaxConnections is what a target accepts from all daemons together.
	MaxConnections int    `yaml:"max-connections,omitempty" json:"max-connections,omitempty"`
	HealthPath     string `yaml:"health-path,omitempty" json:"health-path,omitempty"`
	// ColdTime is how long a target is cold after a start, ColdRate the requests
	// per second that it bears meanwhile; zero means no bound.
	ColdTime Duration `yaml:"cold-time,omitempty" json:"cold-time,omitempty"`
	ColdRate float64  `yaml:"cold-rate,omitempty" json:"cold-rate,omitempty"`
}

// Route returns the route with the longest prefix of the path among those of
// the host.
func (x *Index) Route(host, path string) (Route, bool) {
	routes := x.routes[host]
	if routes == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			host = host[:i]
		}
		routes = x.routes[strings.ToLower(host)]
	}
	// Prefixes end with a slash, so only the path's cuts after slashes match.
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
