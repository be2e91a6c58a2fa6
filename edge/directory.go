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
	// addressTime is how long callers keep the addresses they were told.
	addressTime = time.Second
	// maxAddresses bounds the addresses that one caller is told. Callers of one
	// account may all prefer the same daemon among those they know, so that each
	// caller is told only a few.
	maxAddresses = 4
	// zoneQuorum is the number of ready daemons from which on a failure domain
	// serves its callers alone.
	zoneQuorum = 2
)

// keepTime returns how long callers keep addresses, at most what the settings
// allow.
func (d *Daemon) keepTime() time.Duration {
	if most := d.Settings.MaxAddressTTL; most > 0 {
		return min(addressTime, most)
	}
	return addressTime
}

// resolve returns the frontends of ready daemons, those of the caller's failure
// domain if there are several.
func (d *Daemon) resolve(q platform.Question) platform.Addresses {
	now := clock.Now()
	var near, all, living []exchange.Status
	add := func(s exchange.Status) {
		if s.Leaving {
			return
		}
		living = append(living, s)
		if !s.Ready {
			return
		}
		all = append(all, s)
		if s.Domain == q.Domain {
			near = append(near, s)
		}
	}
	add(exchange.Status{Member: d.self, Ready: d.ready(), Leaving: d.leaving.Load()})
	for _, p := range d.exchange.Peers() {
		if p.Live(now) {
			add(p.Status)
		}
	}
	list := living
	switch {
	case len(near) >= zoneQuorum:
		list = near
	case len(all) > 0:
		list = all
	}
	return platform.Addresses{List: addresses(list, q.Caller), Keep: d.keepTime()}
}

// addresses returns the frontends that a caller is told, in random order. Each
// caller gets the same ones as long as they are ready, so that it keeps its
// connections; over many callers a daemon is told in proportion to its machine.
func addresses(daemons []exchange.Status, caller string) []string {
	slices.SortFunc(daemons, func(a, b exchange.Status) int {
		return cmp.Compare(preference(a, caller), preference(b, caller))
	})
	var list []string
	for _, s := range daemons[:min(len(daemons), maxAddresses)] {
		list = append(list, s.Frontend)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// preference orders daemons for a caller by weighted rendezvous hashing, lowest
// first. Machines of unknown size count alike.
func preference(s exchange.Status, caller string) float64 {
	weight := s.Cores
	if weight <= 0 {
		weight = 1
	}
	hash := xxhash.Sum64String(caller + " " + s.Name)
	return -math.Log((float64(hash>>11)+0.5)/(1<<53)) / weight
}
