package fairqueue

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"rattanline.example/rattanline/request"
)

// Bounds limits the waiting requests of one account in one daemon.
type Bounds struct {
	Requests int
	Bytes    int64
}

// minRetryAfter and maxRetryAfter bound the Retry-After hints. Shorter ones make
// refused callers poll, longer ones outlast most changes of load.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// accountQueue holds the requests of one account for one service.
type accountQueue[T any] struct {
	urgent     itemHeap[T]
	deferrable itemHeap[T]
}

func (q *accountQueue[T]) length() int { return len(q.urgent) + len(q.deferrable) }

func (q *accountQueue[T]) class(urgent bool) *itemHeap[T] {
	if urgent {
		return &q.urgent
	}
	return &q.deferrable
}

func (q *accountQueue[T]) first(accept func(*Item[T]) bool) *Item[T] {
	if item := q.urgent.first(accept); item != nil {
		return item
	}
	return q.deferrable.first(accept)
}

// accountUsage tracks the waiting requests of an account for all services, and how
// fast they leave the queue.
type accountUsage struct {
	requests          int
	bytes             int64
	lastDeparture     time.Time
	departureInterval time.Duration // moving average
}

// Queues holds the waiting requests of one daemon. It is not safe for
// concurrent use.
type Queues[T any] struct {
	counter  func(service, account string) float64
	services map[string]map[string]*accountQueue[T]
	accounts map[string]*accountUsage
	sequence uint64
	length   int
}

// New returns empty queues. The counter function returns the work served to an
// account; the account with the lowest counter comes first.
func New[T any](counter func(service, account string) float64) *Queues[T] {
	return &Queues[T]{
		counter:  counter,
		services: map[string]map[string]*accountQueue[T]{},
		accounts: map[string]*accountUsage{},
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

// Accounts returns the accounts with waiting requests for the service, sorted by
// name.
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

// Push adds an item. It returns a *request.Refusal if the account has reached one
// of its bounds.
func (q *Queues[T]) Push(item *Item[T], b Bounds) error {
	u := q.accounts[item.Account]
	if u == nil {
		u = &accountUsage{}
		q.accounts[item.Account] = u
	}
	if u.requests >= b.Requests {
		return q.queueFull(u, fmt.Sprintf("account %s has %d requests waiting", item.Account, u.requests))
	}
	if u.bytes+item.Bytes > b.Bytes {
		return q.queueFull(u, fmt.Sprintf("account %s has %d bytes waiting", item.Account, u.bytes))
	}
	u.requests++
	u.bytes += item.Bytes
	q.length++
	q.sequence++
	item.sequence = q.sequence
	accounts := q.services[item.Service]
	if accounts == nil {
		accounts = map[string]*accountQueue[T]{}
		q.services[item.Service] = accounts
	}
	if accounts[item.Account] == nil {
		accounts[item.Account] = &accountQueue[T]{}
	}
	heap.Push(accounts[item.Account].class(item.Urgent), item)
	return nil
}

// queueFull returns a refusal whose Retry-After is the time in which half of the
// queue leaves at the recent rate: places that become free earlier are taken by
// other requests.
func (q *Queues[T]) queueFull(u *accountUsage, detail string) error {
	after := u.departureInterval * time.Duration(u.requests/2)
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return &request.Refusal{Reason: request.QueueFull, Detail: detail, RetryAfter: after.Round(time.Second)}
}

// Ordered returns the accounts with waiting requests for the service, lowest
// counter first.
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

// LowestCounter returns the lowest counter of the accounts with waiting requests
// for the service, false if there are none.
func (q *Queues[T]) LowestCounter(service string) (float64, bool) {
	lowest, found := 0.0, false
	for account := range q.services[service] {
		if c := q.counter(service, account); !found || c < lowest {
			lowest, found = c, true
		}
	}
	return lowest, found
}

// Next returns the first accepted item of the account with the lowest counter that
// has one, nil if there is none. The item stays in the queue.
func (q *Queues[T]) Next(service string, accept func(*Item[T]) bool) *Item[T] {
	for _, account := range q.Ordered(service) {
		if item := q.services[service][account].first(accept); item != nil {
			return item
		}
	}
	return nil
}

// Take removes an item that is about to start. The rate of these departures
// determines Retry-After. It returns false if the item is no longer queued.
func (q *Queues[T]) Take(now time.Time, item *Item[T]) bool {
	if !q.Remove(item) {
		return false
	}
	u := q.accounts[item.Account]
	if !u.lastDeparture.IsZero() {
		u.departureInterval += (now.Sub(u.lastDeparture) - u.departureInterval) / 8
	}
	u.lastDeparture = now
	return true
}

// Remove removes an item, such as one whose caller disconnected. It returns false
// if the item is no longer queued.
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

// removeWhere removes and returns the matching items. It stops at the first item of
// each heap that does not match, so match must be monotonic in the deadline.
func (q *Queues[T]) removeWhere(match func(*Item[T]) bool) []*Item[T] {
	var removed []*Item[T]
	for _, service := range q.Services() {
		for _, account := range q.Accounts(service) {
			waiting := q.services[service][account]
			for _, class := range []*itemHeap[T]{&waiting.urgent, &waiting.deferrable} {
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
