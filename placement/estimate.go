package placement

import (
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// fetchTokensPerSecond is the rate at which one engine copies cached tokens from
	// another.
	fetchTokensPerSecond = 90_000
	// tokensPerRequest is the work that each request in flight adds at an engine, in prompt
	// tokens.
	tokensPerRequest = 76
)

// estimate returns the choice of the target with its expected waits.
func (t *Table) estimate(target *targetState, q Query, now clock.Instant, others Work, r ranking, cache targetCache) Choice {
	if !q.Engine {
		return t.estimatePlain(target, now, max(target.work.Requests+others.Requests, target.reportedRequests(now)))
	}
	c := Choice{Target: target.Target}
	fetched := max(cache.otherAssumed-cache.assumed, 0)
	var fetch time.Duration
	// What a preferred target holds is only assumed, so it is given a cache holder too.
	if cache.otherAssumed > cache.sent || r.copiesSmall && cache.otherAssumed > 0 {
		c.CacheHolder = cache.other.Address
		fetch = r.copyTime(fetched, cache.other.Domain != target.Domain)
	}
	c.PromptTokens = float64(max(q.Demand.Prompt-cache.assumed-fetched, 1))
	speed := t.speed(q.Service)
	queued := queuedWork(target, others)
	c.Work, c.FetchTime, c.StartDelay = queued+c.PromptTokens, fetch, speed.delay
	c.QueueWait = speed.duration(queued)
	c.Wait = speed.duration(c.Work) + fetch
	return c
}

// queuedWork returns the work that an engine has in flight, in prompt tokens, given what other
// daemons have in flight there.
func queuedWork(target *targetState, others Work) float64 {
	return target.work.Prompt + others.Prompt + float64(tokensPerRequest*(target.work.Requests+others.Requests))
}
