package rollout

import (
	"cmp"
	"slices"
)

// Summary describes the roll-out of a service for operators.
type Summary struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// Phase is empty while the first step isn't written.
	Phase          string  `json:"phase"`
	ElapsedSeconds float64 `json:"elapsed-seconds"`
	Verdict        Verdict `json:"verdict"`
	Reason         string  `json:"reason"`
	// HeldBack reports whether the daemon sends nothing to the version by its own judgement.
	HeldBack bool `json:"held-back"`
	// Requests counts the requests of this daemon since the order, Exposed those to the new
	// version.
	Requests int `json:"requests"`
	Exposed  int `json:"exposed"`
}

// Summaries returns the roll-outs that this daemon knows, by service.
func (c *Controller) Summaries() []Summary {
	var list []Summary
	for _, s := range c.all() {
		s.mu.Lock()
		list = append(list, Summary{
			Service: s.name, To: s.to(), Phase: string(s.phase()), ElapsedSeconds: c.clock().Sub(s.startedAt).Seconds(),
			Verdict: s.finding.Verdict, Reason: s.finding.Reason, HeldBack: s.held, Requests: s.own.Requests, Exposed: s.own.Exposed,
		})
		s.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
