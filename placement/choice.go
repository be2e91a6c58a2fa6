package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/request"
)

const (
	// readRate is the number of prompt tokens that an engine reads in a second.
	readRate = 38_000
	// fetchRate is the number of kept tokens that one engine gets from another in
	// a second.
	fetchRate = 90_000
	// fetchPenalty makes a fetch cost more than its time: it keeps the link of both
	// engines busy, and the copy takes memory in which the engine keeps other parts,
	// which it then reads again.
	fetchPenalty = 7
	// awayTime is what an engine that isn't a home of the prompt's shared parts must
	// be better by, because others don't know of the copy there.
	awayTime = 150 * time.Millisecond
	// homeCount is the number of homes of a prompt's shared parts. The requests that
	// the first one has no time for go to the second one, where all daemons send
	// theirs too.
	homeCount = 2
	// requestTime is what each request in flight adds to the wait at an engine.
	requestTime = 2 * time.Millisecond
	// plainTime is the time of a request at a plain service.
	plainTime = 15 * time.Millisecond
	// remoteTime is what a target in another failure domain must be better by.
	remoteTime = 4 * time.Millisecond
	// removedTime is how long a target whose entry was removed is still used: the
	// entry may have lapsed while the key-value service was away.
	removedTime = 1100 * time.Millisecond
	// removedPenalty puts such a target behind those that are listed.
	removedPenalty = 150 * time.Millisecond
	// loadTime is how long a told load counts.
	loadTime = 600 * time.Millisecond
)

// Query describes a request that needs a target.
type Query struct {
	Service string
	// Engine tells that the service's targets read prompts.
	Engine bool
	Demand request.Demand
	// Avoid names targets that the request was sent to before.
	Avoid []string
}

// Choice is the target chosen for a request.
type Choice struct {
	Target mirror.Target
	// Wait is the expected time until the target begins to answer, QueueWait the part
	// of it that other requests cause.
	Wait, QueueWait time.Duration
	// PromptTokens is the number of tokens that it has to read.
	PromptTokens float64
	// CacheHolder is the address of another target that keeps more of the prompt,
	// empty if none is known to.
	CacheHolder string
	// Cold tells that the target is cold.
	Cold bool
}

// Choose returns the target with the shortest expected wait, false if no target
// can be used.
func (t *Table) Choose(q Query) (Choice, bool) {
	now := clock.Now()
	others := t.PeerWork()
	daemons := t.Daemons()
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := t.usable(q, now, t.connectionPart(q.Service, len(daemons)))
	if len(usable) == 0 {
		return Choice{}, false
	}
	usable, homes := sample(usable, homesOf(q, usable))
	kept := keptBy(q, usable, homes, now)
	var best Choice
	var bestTarget *target
	var bestCost time.Duration
	for i, g := range usable {
		cold := now < t.coldEnd(g)
		if cold && !t.mayWarm(g, now, daemons) {
			continue
		}
		c, fetch := t.weigh(g, q, now, others[g.Name], kept.at(i, usable))
		c.Cold = cold
		cost := c.Wait + t.penalty(g) + g.faults.cost(now, c.Wait, q.Engine) + time.Duration(fetchPenalty*float64(fetch))
		if len(homes) > 0 && !slices.Contains(homes, i) {
			cost += awayTime
		}
		// Equal costs are frequent where nothing is in flight.
		if bestTarget == nil || cost < bestCost || cost == bestCost && rand.IntN(2) == 0 {
			best, bestTarget, bestCost = c, g, cost
		}
	}
	if bestTarget == nil {
		return Choice{}, false
	}
	if best.Cold {
		bestTarget.next = now.Add(t.coldSpacing(bestTarget, daemons))
	}
	return best, true
}

// connectionPart returns how many requests this daemon may have in flight at a
// target of the service: its part of the connections that the target accepts.
func (t *Table) connectionPart(service string, daemons int) int {
	if t.MaxConnections == nil {
		return math.MaxInt
	}
	most := t.MaxConnections(service)
	if most <= 0 {
		return math.MaxInt
	}
	return max(most/max(daemons, 1), 1)
}

// usable returns the targets of the service to which requests may be sent. Those
// that the request was sent to before are among them only if there is no other.
func (t *Table) usable(q Query, now clock.Instant, connections int) []*target {
	fresh, tried := t.fresh[:0], t.tried[:0]
	defer func() { t.fresh, t.tried = fresh, tried }() // keeps what has grown
	for _, g := range t.services[q.Service] {
		switch {
		case !t.listed(g, now), now < g.down, g.work.Requests >= connections:
		case slices.Contains(q.Avoid, g.Name):
			tried = append(tried, g)
		default:
			fresh = append(fresh, g)
		}
	}
	if len(fresh) == 0 {
		return tried
	}
	return fresh
}

// listed tells that a target may get requests, as far as the key-value service
// says.
func (t *Table) listed(g *target, now clock.Instant) bool {
	return g.known && !g.Leaving && !t.domains[g.Domain].evacuated && (g.Removed == 0 || now.Sub(g.Removed) <= removedTime)
}

// Listed returns the number of targets of a service that may get requests.
func (t *Table) Listed(service string) int {
	now, n := clock.Now(), 0
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.services[service] {
		if t.listed(g, now) {
			n++
		}
	}
	return n
}

// homesOf returns the indexes of the targets that keep the shared parts of the
// prompt, none if it has none: all daemons pick the same by hashing, so that no
// message is needed.
func homesOf(q Query, usable []*target) []int {
	if !q.Engine || len(q.Demand.Segments) == 0 {
		return nil
	}
	deepest := xxhash.Sum64String(q.Demand.Segments[max(len(q.Demand.Segments)-2, 0)].ID)
	var homes [homeCount]int
	var ranks [homeCount]uint64
	n := 0
	for i, g := range usable {
		at, w := n, rank(deepest, g.hash)
		for at > 0 && w > ranks[at-1] {
			at--
		}
		if at == homeCount {
			continue
		}
		n = min(n+1, homeCount)
		copy(homes[at+1:n], homes[at:n])
		copy(ranks[at+1:n], ranks[at:n])
		homes[at], ranks[at] = i, w
	}
	return homes[:n]
}

// maxWeighed bounds the targets that are compared for one request.
const maxWeighed = 48

// sample returns at most maxWeighed of the targets, the homes among them, and the
// indexes of the homes. It changes the order of the targets.
func sample(usable []*target, homes []int) ([]*target, []int) {
	if len(usable) <= maxWeighed {
		return usable, homes
	}
	for to, from := range homes {
		usable[to], usable[from] = usable[from], usable[to]
		for later := to + 1; later < len(homes); later++ {
			if homes[later] == to { // it was moved
				homes[later] = from
			}
		}
		homes[to] = to
	}
	for i := len(homes); i < maxWeighed; i++ {
		j := i + rand.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
	}
	return usable[:maxWeighed], homes
}

// rank mixes two hashes (the finalizer of splitmix64).
func rank(key, name uint64) uint64 {
	x := key ^ name*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// keepers tells how many of a prompt's tokens each target is taken to keep.
type keepers struct {
	tokens []int // what it is taken to keep, by the index of the target
	known  []int // what this daemon sent there
	// first and second are the indexes of those that keep most, negative if there
	// are none.
	first, second int
}

// keeping is what matters of the keepers when one target is weighed.
type keeping struct {
	kept, known int
	// most is what another target keeps, source its address.
	most   int
	source string
}

// keptBy returns what the targets are taken to keep of the prompt: what this
// daemon sent there, and all shared parts at their first home.
func keptBy(q Query, usable []*target, homes []int, now clock.Instant) keepers {
	k := keepers{first: -1, second: -1}
	if !q.Engine {
		return k
	}
	k.tokens, k.known = make([]int, len(usable)), make([]int, len(usable))
	for i, g := range usable {
		k.known[i] = g.parts.kept(now, q.Demand.Segments)
		k.tokens[i] = k.known[i]
	}
	if len(homes) > 0 {
		k.tokens[homes[0]] = max(k.tokens[homes[0]], shared(q.Demand.Segments))
	}
	for i, tokens := range k.tokens {
		switch {
		case tokens == 0:
		case k.first < 0 || tokens > k.tokens[k.first]:
			k.first, k.second = i, k.first
		case k.second < 0 || tokens > k.tokens[k.second]:
			k.second = i
		}
	}
	return k
}

func (k keepers) at(i int, usable []*target) keeping {
	if k.tokens == nil {
		return keeping{}
	}
	other := k.first
	if other == i {
		other = k.second
	}
	at := keeping{kept: k.tokens[i], known: k.known[i]}
	if other >= 0 {
		at.most, at.source = k.tokens[other], usable[other].Address
	}
	return at
}

// weigh returns what it means to send the request to the target, and the time
// that fetching kept parts takes.
func (t *Table) weigh(g *target, q Query, now clock.Instant, others Work, k keeping) (Choice, time.Duration) {
	c := Choice{Target: g.Target}
	requests := g.work.Requests + others.Requests
	if !q.Engine {
		slots := max(g.Slots, 1)
		if now.Sub(g.loaded) < loadTime {
			requests = max(requests, g.load.Running+g.load.Waiting)
		}
		c.Wait = plainTime * time.Duration(requests+1) / time.Duration(slots)
		return c, 0
	}
	fetched := max(k.most-k.kept, 0)
	// What the home keeps is only presumed, so a source is named there too.
	if k.most > k.known {
		c.CacheHolder = k.source
	}
	fetch := time.Duration(float64(fetched) / fetchRate * float64(time.Second))
	c.PromptTokens = float64(max(q.Demand.Prompt-k.kept-fetched, 1))
	c.QueueWait = readTime(g.work.Prompt+others.Prompt) + requestTime*time.Duration(requests)
	c.Wait = c.QueueWait + readTime(c.PromptTokens) + fetch
	return c, fetch
}

// readTime is the time in which an engine reads the tokens of prompts.
func readTime(tokens float64) time.Duration {
	return time.Duration(tokens / readRate * float64(time.Second))
}

// shared returns the tokens of the parts that other requests may share.
func shared(parts []request.PromptSegment) int {
	tokens := 0
	for _, p := range parts[:max(len(parts)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}

func (t *Table) penalty(g *target) time.Duration {
	var p time.Duration
	if g.Domain != t.Domain {
		p += remoteTime
	}
	if g.Removed != 0 {
		p += removedPenalty
	}
	return p
}
