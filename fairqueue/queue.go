package fairqueue

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"rattanline.example/rattanline/request"
)

// Bounds limits what one account may have waiting in one daemon.
type Bounds struct {
	Requests int
	Bytes    int64
}

// Retry-After hints stay within these: a shorter one makes a refused caller
// poll, a longer one outlives most changes of load.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// queue holds the requests of one account for one service.
type queue[T any] struct {
	urgent     items[T]
	deferrable items[T]
}

func (q *queue[T]) length() int { return len(q.urgent) + len(q.deferrable) }

func (q *queue[T]) class(urgent bool) *items[T] {
	if urgent {
		return &q.urgent
	}
	return &q.deferrable
}

func (q *queue[T]) first(accept func(*Item[T]) bool) *Item[T] {
	if item := q.urgent.first(accept); item != nil {
		return item
	}
	return q.deferrable.first(accept)
}

// usage is what an account has waiting over all services, and how fast its
// requests leave the queue.
type usage struct {
	requests int
	bytes    int64
	lastLeft time.Time
	interval time.Duration // moving mean between departures
}

// Queues holds the waiting requests of one daemon. It is not safe for
// concurrent use.
type Queues[T any] struct {
	counter  func(service, account string) float64
	services map[string]map[string]*queue[T]
	accounts map[string]*usage
	sequence uint64
	length   int
}

// New returns empty queues ordered by the counter function.
func New[T any](counter func(service, account string) float64) *Queues[T] {
	return &Queues[T]{
		counter:  counter,
		services: map[string]map[string]*queue[T]{},
		accounts: map[string]*usage{},
	}
}

// Len returns the number of waiting requests.
func (q *Queues[T]) Len() int { return q.length }

// Waiting returns the number of waiting requests of an account for a service.
func (q *Queues[T]) Waiting(service, account string) int {
	if queue := q.services[service][account]; queue != nil {
		return queue.length()
	}
	return 0
}

// Accounts returns the accounts that wait for the service, sorted by name.
func (q *Queues[T]) Accounts(service string) []string {
	accounts := make([]string, 0, len(q.services[service]))
	for account := range q.services[service] {
		accounts = append(accounts, account)
	}
	slices.Sort(accounts)
	return accounts
}

// Services returns the services that have waiting requests, sorted by name.
func (q *Queues[T]) Services() []string {
	services := make([]string, 0, len(q.services))
	for service := range q.services {
		services = append(services, service)
	}
	slices.Sort(services)
	return services
}

// Push adds an item. Its error is a *request.Refusal when the account has
// reached a bound.
func (q *Queues[T]) Push(item *Item[T], b Bounds) error {
	u := q.accounts[item.Account]
	if u == nil {
		u = &usage{}
		q.accounts[item.Account] = u
	}
	if u.requests >= b.Requests {
		return q.full(u, fmt.Sprintf("account %s has %d requests waiting", item.Account, u.requests))
	}
	if u.bytes+item.Bytes > b.Bytes {
		return q.full(u, fmt.Sprintf("account %s has %d bytes waiting", item.Account, u.bytes))
	}
	u.requests++
	u.bytes += item.Bytes
	q.length++
	q.sequence++
	item.sequence = q.sequence
	accounts := q.services[item.Service]
	if accounts == nil {
		accounts = map[string]*queue[T]{}
		q.services[item.Service] = accounts
	}
	if accounts[item.Account] == nil {
		accounts[item.Account] = &queue[T]{}
	}
	heap.Push(accounts[item.Account].class(item.Urgent), item)
	return nil
}

// full estimates when a place is free: after half of the queue has left at the
// recent pace, since a place that frees earlier is taken by others.
func (q *Queues[T]) full(u *usage, detail string) error {
	after := u.interval * time.Duration(u.requests/2)
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return &request.Refusal{Reason: request.QueueFull, Detail: detail, RetryAfter: after.Round(time.Second)}
}

// Ordered returns the accounts waiting for the service, lowest counter first.
func (q *Queues[T]) Ordered(service string) []string {
	accounts := q.Accounts(service)
	if len(accounts) < 2 {
		return accounts
	}
	counters := make(map[string]float64, len(accounts))
	for _, account := range accounts {
		counters[account] = q.counter(service, account)
	}
	slices.SortStableFunc(accounts, func(x, y string) int {
		switch {
		case counters[x] < counters[y]:
			return -1
		case counters[x] > counters[y]:
			return 1
		default:
			return 0
		}
	})
	return accounts
}

// LowestCounter returns the lowest counter of the accounts waiting for the service.
func (q *Queues[T]) LowestCounter(service string) (float64, bool) {
	lowest, found := 0.0, false
	for account := range q.services[service] {
		if c := q.counter(service, account); !found || c < lowest {
			lowest, found = c, true
		}
	}
	return lowest, found
}

// Next returns the first accepted item of the account with the lowest counter
// that has one, and nil if there is none. The item stays queued.
func (q *Queues[T]) Next(service string, accept func(*Item[T]) bool) *Item[T] {
	for _, account := range q.Ordered(service) {
		if item := q.services[service][account].first(accept); item != nil {
			return item
		}
	}
	return nil
}

// Take removes an item that is about to start; the pace of such departures
// determines Retry-After.
func (q *Queues[T]) Take(now time.Time, item *Item[T]) bool {
	if !q.Remove(item) {
		return false
	}
	u := q.accounts[item.Account]
	if !u.lastLeft.IsZero() {
		u.interval += (now.Sub(u.lastLeft) - u.interval) / 8
	}
	u.lastLeft = now
	return true
}

// Remove removes an item whose caller is gone. It returns false if the item is
// no longer queued.
func (q *Queues[T]) Remove(item *Item[T]) bool {
	accounts := q.services[item.Service]
	waiting := accounts[item.Account]
	if waiting == nil || item.sequence == 0 || item.index < 0 {
		return false
	}
	class := waiting.class(item.Urgent)
	if item.index >= len(*class) || (*class)[item.index] != item {
		return false
	}
	heap.Remove(class, item.index)
	if waiting.length() == 0 {
		delete(accounts, item.Account)
	}
	if len(accounts) == 0 {
		delete(q.services, item.Service)
	}
	u := q.accounts[item.Account]
	u.requests--
	u.bytes -= item.Bytes
	q.length--
	return true
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queues[T]) Expire(now time.Time) []*Item[T] {
	return q.removeWhere(func(item *Item[T]) bool { return item.Expired(now) })
}

// Clear removes and returns all items.
func (q *Queues[T]) Clear() []*Item[T] {
	return q.removeWhere(func(*Item[T]) bool { return true })
}

// removeWhere removes the leading items of each heap that match; the predicate
// must be monotone in the deadline.
func (q *Queues[T]) removeWhere(match func(*Item[T]) bool) []*Item[T] {
	var removed []*Item[T]
	for _, service := range q.Services() {
		for _, account := range q.Accounts(service) {
			waiting := q.services[service][account]
			for _, class := range []*items[T]{&waiting.urgent, &waiting.deferrable} {
				for len(*class) > 0 && match((*class)[0]) {
					item := (*class)[0]
					q.Remove(item)
					removed = append(removed, item)
				}
			}
		}
	}
	return removed
}
