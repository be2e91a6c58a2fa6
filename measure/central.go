package measure

import (
	"container/heap"
	"time"
)

// arrival is a request of a trace. Its time counts from the start of the trace.
type arrival struct {
	at      time.Duration
	account int
	service string
	cost    float64
}

// completion is the end of a running request in the simulation of a central queue.
type completion struct {
	at      time.Duration
	account int
	cost    float64
}

type completions []completion

// Len implements heap.Interface.
func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *completions) Push(x any) { *c = append(*c, x.(completion)) }

// Pop implements heap.Interface.
func (c *completions) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// centralQueueWork returns the work, as the sum of costs, that one queue in front of
// all slots has done on the trace by the end. It is the reference for the utilisation
// of the fleet, because such a queue leaves no slot idle while a request waits.
func centralQueueWork(trace []arrival, slots int, end time.Duration) float64 {
	var running completions
	work := 0.0
	for _, a := range trace {
		begin := a.at
		if len(running) == slots {
			begin = max(begin, heap.Pop(&running).(completion).at)
		}
		if begin >= end {
			break // later arrivals start no earlier
		}
		duration := time.Duration(a.cost * float64(timePerCost))
		heap.Push(&running, completion{at: begin + duration})
		work += a.cost * min(1, float64(end-begin)/float64(duration))
	}
	return work
}

// fifoGaps simulates one queue that is served in order of arrival. Each account
// keeps its number of requests outstanding. It returns the largest gap in served
// cost between accounts until each of the two times.
func fifoGaps(outstanding func(account int) int, slots int, draw func() float64, short, long time.Duration) (float64, float64) {
	var queue []int
	for round := range outstanding(0) {
		for account := range accountCount {
			if round < outstanding(account) {
				queue = append(queue, account)
			}
		}
	}
	var running completions
	served := make([]float64, accountCount)
	worst, worstShort := 0.0, 0.0
	for now := time.Duration(0); now < long; {
		for len(running) < slots && len(queue) > 0 {
			cost := draw()
			heap.Push(&running, completion{at: now + time.Duration(cost*float64(timePerCost)), account: queue[0], cost: cost})
			queue = queue[1:]
		}
		done := heap.Pop(&running).(completion)
		now = done.at
		served[done.account] += done.cost
		queue = append(queue, done.account)
		worst = max(worst, valueRange(served))
		if now <= short {
			worstShort = worst
		}
	}
	return worstShort, worst
}

// valueRange returns the difference between the largest and the smallest value.
func valueRange(values []float64) float64 {
	low, high := values[0], values[0]
	for _, v := range values {
		low, high = min(low, v), max(high, v)
	}
	return high - low
}
