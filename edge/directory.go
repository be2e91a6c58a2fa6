package edge

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/exchange"
	"rattanline.example/rattanline/platform"
)

const (
	// addressTTL is how long callers may cache the addresses.
	addressTTL = time.Second
	// maxAddresses is the maximum number of addresses returned to one caller. Callers
	// of one account may all prefer the same daemon among those that they know, so
	// each caller receives only a few.
	maxAddresses = 4
	// minDomainDaemons is the minimum number of ready daemons in a failure domain for
	// its callers to receive only addresses in that domain.
	minDomainDaemons = 2
)

// resolveTTL returns addressTTL, limited by Settings.MaxAddressTTL if that is set.
func (d *Daemon) resolveTTL() time.Duration {
	if limit := d.Settings.MaxAddressTTL; limit > 0 {
		return min(addressTTL, limit)
	}
	return addressTTL
}

// resolve returns at most maxAddresses frontend addresses. It selects them from the
// daemons that are live and ready: those in the caller's failure domain if at least
// minDomainDaemons are ready there, else those in any. If none is ready, it selects
// from all live daemons that are not leaving.
func (d *Daemon) resolve(q platform.ResolveRequest) platform.ResolveResponse {
	now := clock.Now()
	var local, ready, present []exchange.Status
	add := func(s exchange.Status) {
		if s.Leaving {
			return
		}
		present = append(present, s)
		if !s.Ready {
			return
		}
		ready = append(ready, s)
		if s.Domain == q.Domain {
			local = append(local, s)
		}
	}
	add(exchange.Status{Member: d.self, Ready: d.ready(), Leaving: d.leaving.Load()})
	for _, p := range d.exchange.Peers() {
		if p.Live(now) {
			add(p.Status)
		}
	}
	list := present
	switch {
	case len(local) >= minDomainDaemons:
		list = local
	case len(ready) > 0:
		list = ready
	}
	addresses := addressesFor(list, q.Caller)
	d.Logger.Info().Str("caller", q.Caller).Str("caller-failure-domain", q.Domain).Int("candidates", len(list)).Strs("addresses", addresses).Msg("directory answered")
	return platform.ResolveResponse{Addresses: addresses, TTL: d.resolveTTL()}
}

// addressesFor selects at most maxAddresses frontend addresses for a caller and
// returns them in random order. A caller gets the same ones as long as they are in
// the list, so that it keeps its connections. Over many callers a daemon is selected
// in proportion to the cores of its host.
func addressesFor(daemons []exchange.Status, caller string) []string {
	slices.SortFunc(daemons, func(a, b exchange.Status) int {
		return cmp.Compare(rendezvousScore(a, caller), rendezvousScore(b, caller))
	})
	var list []string
	for _, s := range daemons[:min(len(daemons), maxAddresses)] {
		list = append(list, s.Frontend)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// rendezvousScore returns the score of a daemon for a caller in weighted rendezvous
// hashing; the lowest is preferred. A host with an unknown number of cores weighs
// as much as one core.
func rendezvousScore(s exchange.Status, caller string) float64 {
	weight := s.Cores
	if weight <= 0 {
		weight = 1
	}
	hash := xxhash.Sum64String(caller + " " + s.Name)
	return -math.Log((float64(hash>>11)+0.5)/(1<<53)) / weight
}
