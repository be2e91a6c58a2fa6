package main

import "time"

// route is a route of the configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	RouteType   string `json:"route_type"`
	TimeoutMS   int    `json:"timeout_ms"`
	TargetMS    int    `json:"target_latency_ms"`
	TargetGapMS int    `json:"target_gap_ms,omitempty"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
}

// configuration is what the operator writes to op/config.
type configuration struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []any          `json:"services"`
	Tenants  []tenant       `json:"tenants"`
	Limits   map[string]any `json:"limits"`
}

// Services and routes of the deployment.
const (
	deskService   = "zaiko930"
	assistService = "kago551"
	lookupPath    = "/cufi504/"
	reservePath   = "/puxa403/"
	notesPath     = "/lohu930/"
)

func newConfiguration(version int, tenants ...tenant) configuration {
	return configuration{
		Version: version, Tenants: tenants,
		Routes: []route{
			{Name: "r-lookup", Host: host, PathPrefix: lookupPath, RouteType: "idempotent", TimeoutMS: 1500, TargetMS: 120, Priority: 2, Service: deskService, MaxAttempts: 2},
			{Name: "r-reserve", Host: host, PathPrefix: reservePath, RouteType: "non_idempotent", TimeoutMS: 1500, TargetMS: 120, Priority: 2, Service: deskService, MaxAttempts: 2},
			{Name: "r-notes", Host: host, PathPrefix: notesPath, RouteType: "streaming", TimeoutMS: 15000, TargetMS: 400, TargetGapMS: 400, Priority: 1, Service: assistService, MaxAttempts: 1, Sticky: true},
		},
		Services: []any{
			map[string]any{"name": deskService, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
			map[string]any{
				"name": assistService, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
				"engine": map[string]any{"kv_capacity_tokens": 215866, "kv_token_bytes": 1000, "link_mbps": 10000},
			},
		},
		Limits: map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000, "tokens_per_s": 230000},
	}
}

// write writes the configuration as the operator does, and returns when it was acknowledged.
func (f *fleet) write(c configuration) (time.Time, bool) {
	revision, ok := f.store.put("op/config", c)
	if ok {
		f.record.note("operator: configuration %d acknowledged at revision %d", c.Version, revision)
	}
	return time.Now(), ok
}
