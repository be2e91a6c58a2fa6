// Package directory decides which hosts callers are sent to, and which host a request is passed on
// to, by the cores of the hosts and by what they have left of them. It uses no network.
package directory

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
)

const (
	// MaxHosts is the maximum number of hosts selected for one caller. Callers of one account may
	// all prefer the same host among those that they know, so each caller receives only a few.
	MaxHosts = 4
	// unevenRatio is the ratio of the cores of the largest host to those of the smallest from which
	// on the room of the hosts decides.
	unevenRatio = 1.5
	// crowdedRoom is the fraction of its cores that a host must have left, and returnRoom the one
	// that it must have to get callers again.
	crowdedRoom, returnRoom = 0.35, 0.6
	// minCrowdedTime is how long a crowded host gets no callers at least. Callers keep addresses
	// for up to three times their time to live, so that it takes as long until they have moved.
	minCrowdedTime = 4 * time.Second
	// unknownCores is the weight of a host with an unknown number of cores.
	unknownCores = 1
)

// Host is a host as the directory sees it.
type Host struct {
	Name, Address string
	Cores         float64 // zero if unknown
	// Room is the cores that are left, if RoomKnown.
	Room      float64
	RoomKnown bool
}

func (h Host) weight() float64 {
	if h.Cores <= 0 {
		return unknownCores
	}
	return h.Cores
}

// roomFraction returns the fraction of its cores that the host has left, one if it isn't known.
func (h Host) roomFraction() float64 {
	if !h.RoomKnown || h.Cores <= 0 {
		return 1
	}
	return h.Room / h.Cores
}

// Uneven reports whether the hosts differ so much in their cores that one can't carry what
// another can.
func Uneven(hosts []Host) bool {
	least, most := math.Inf(1), 0.0
	for _, h := range hosts {
		least, most = min(least, h.weight()), max(most, h.weight())
	}
	return most >= unevenRatio*least
}

// Selector selects hosts for callers. It answers the load of callers that send much, on hosts of
// which some have a multiple of the cores of others: a host gets no callers from the moment that
// it is crowded, before it refuses requests, until it has much room again. The zero value is ready
// for use. It is safe for concurrent use.
type Selector struct {
	mu      sync.Mutex
	crowded map[string]clock.Instant // by name, when the host was last seen crowded
}

// Select returns at most MaxHosts hosts for the caller, in random order. A caller gets the same
// ones as long as they are in the list, so that it keeps its connections. Over many callers a host
// is selected in proportion to its cores. Hosts without room are left out as long as MaxHosts
// others have some, if the hosts are uneven. Select may reorder the list.
func (s *Selector) Select(hosts []Host, caller string, now clock.Instant) []Host {
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(score(a, caller), score(b, caller)) })
	if Uneven(hosts) {
		hosts = s.preferRoom(hosts, now)
	}
	list := slices.Clone(hosts[:min(len(hosts), MaxHosts)])
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// preferRoom returns the hosts that aren't crowded or, if these are fewer than MaxHosts, also the
// crowded ones, after them.
func (s *Selector) preferRoom(hosts []Host, now clock.Instant) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crowded == nil {
		s.crowded = map[string]clock.Instant{}
	}
	var roomy, crowded []Host
	for _, h := range hosts {
		if s.isCrowded(h, now) {
			crowded = append(crowded, h)
		} else {
			roomy = append(roomy, h)
		}
	}
	if len(roomy) >= MaxHosts {
		return roomy
	}
	return append(roomy, crowded...)
}

func (s *Selector) isCrowded(h Host, now clock.Instant) bool {
	room := h.roomFraction()
	since, was := s.crowded[h.Name]
	switch {
	case room < crowdedRoom:
		s.crowded[h.Name] = now
		return true
	case was && (room < returnRoom || now.Sub(since) < minCrowdedTime):
		return true
	}
	delete(s.crowded, h.Name)
	return false
}

// score returns the score of a host for a caller in weighted rendezvous hashing; the lowest is
// preferred.
func score(h Host, caller string) float64 {
	hash := xxhash.Sum64String(caller + " " + h.Name)
	return -math.Log((float64(hash>>11)+0.5)/(1<<53)) / h.weight()
}

// PassOn selects the host that one request is passed on to. It answers the load of a host that
// passes on hundreds of requests a second, by reports of the others' room that are up to a second
// old: each of them gets requests in proportion to its room, so that no one is filled at once, and
// those without room get none. Hosts that are even count by their cores alone. It returns false if
// there is no host with room.
func PassOn(hosts []Host) (Host, bool) {
	uneven, total := Uneven(hosts), 0.0
	weight := func(h Host) float64 {
		if uneven && h.RoomKnown {
			return max(h.Room, 0)
		}
		return h.weight()
	}
	for _, h := range hosts {
		total += weight(h)
	}
	at := rand.Float64() * total
	for _, h := range hosts {
		if at -= weight(h); at < 0 {
			return h, true
		}
	}
	return Host{}, false
}
