package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/mirror"
)

// engineSlots is the number of concurrent requests per engine in the configurations
// that Configure writes.
const engineSlots = 16

// Configure writes a configuration as the operators of the platform do, with the
// API keys by account. The field names are spelled out here independently of the
// platform adapter, so that tests detect a name that the adapter misreads.
func (m *Metadata) Configure(d config.Document, keys map[string][]string) error {
	routes, services, accounts := []any{}, []any{}, []any{}
	for _, r := range d.Routes {
		kind := map[config.Repeat]string{config.RepeatAny: "idempotent", config.RepeatNever: "non_idempotent"}[r.Repeat]
		if r.Stream {
			kind = "streaming"
		}
		split := []any{}
		for _, s := range r.Split {
			split = append(split, map[string]any{"service": s.Service, "weight": s.Weight})
		}
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": r.PathPrefix, "route_type": kind, "resumable": r.Repeat == config.RepeatResume,
			"timeout_ms": r.Timeout.Std().Milliseconds(), "target_latency_ms": r.LatencyAim.Std().Milliseconds(),
			"target_gap_ms": r.PauseAim.Std().Milliseconds(),
			"priority":      r.Priority, "traffic_split": split, "max_attempts": r.MaxAttempts, "public": r.Public, "sticky": r.Prompts,
		})
	}
	for _, s := range d.Services {
		service := map[string]any{
			"name": s.Name, "health_path": s.Connection.HealthPath, "max_connections": s.Connection.MaxConnections,
			"cold_start_s": s.Connection.ColdTime.Std().Seconds(), "cold_per_s": s.Connection.ColdRate,
		}
		if s.Kind == config.Model {
			service["engine"] = map[string]any{"slots": engineSlots}
		}
		services = append(services, service)
	}
	for _, a := range d.Accounts {
		accounts = append(accounts, map[string]any{"name": a.Name, "api_keys": keys[a.Name]})
	}
	data, err := json.Marshal(map[string]any{
		"version": d.Version, "routes": routes, "services": services, "tenants": accounts,
		"limits": map[string]any{
			"max_header_bytes": d.Limits.MaxHeaderBytes, "max_body_bytes": d.Limits.MaxBodyBytes,
			"header_timeout_ms": d.Limits.HeaderTimeout.Std().Milliseconds(), "idle_timeout_ms": d.Limits.IdleTimeout.Std().Milliseconds(),
			"tokens_per_s": d.Limits.TokenRate,
		},
	})
	if err != nil {
		return fmt.Errorf("encode configuration %d: %w", d.Version, err)
	}
	m.Put("op/config", string(data))
	return nil
}

// defaultVersion is the version of targets for which none is stated.
const defaultVersion = "v1"

// RegisterTarget writes the entry of a target, in the format that the target itself
// uses.
func (m *Metadata) RegisterTarget(t mirror.Target) {
	state := "ready"
	if t.Leaving {
		state = "draining"
	}
	m.Put("servers/"+t.Name, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold_remaining_ms":%d,"sequence":1,"born":%d}`,
		t.Service, t.Address, t.Domain, cmp.Or(t.Version, defaultVersion), t.Slots, state, t.Cold.Milliseconds(), t.StartTime,
	))
}

// OrderRollout writes an operator's order to move the service to targets of a version.
func (m *Metadata) OrderRollout(service, to string, duration time.Duration) {
	m.Put("op/rollout/"+service, fmt.Sprintf(`{"service":%q,"to":%q,"duration_s":%g}`, service, to, duration.Seconds()))
}

// RolloutStatus returns the state of the service's roll-out as operators read it, empty if there is
// none.
func (m *Metadata) RolloutStatus(service string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var status struct{ State string }
	if json.Unmarshal(m.items["status/rollout/"+service].Value, &status) != nil {
		return ""
	}
	return status.State
}

// DeregisterTarget removes the entry of a target.
func (m *Metadata) DeregisterTarget(name string) { m.Remove("servers/" + name) }
