package frontend

import "sync"

// bounds limits what the requests of a client account hold before the bounds of
// the queue apply to them. Its maps are keyed by account.
type bounds struct {
	mu sync.Mutex
	// unsentCalls counts the requests that wait for their claim or to be sent after it.
	unsentCalls map[string]int
	// unsentBytes counts the body bytes of requests that were counted in unsentCalls and
	// were not sent.
	unsentBytes map[string]int64
	// receivingBytes counts the bytes reserved for bodies that are being received.
	receivingBytes map[string]int64
}

// addUnsent counts a request that is to be claimed and sent, and returns false if that
// would exceed a limit of its account. A body alone may exceed maxBytes. The bounds of
// the queue apply only after the claim; without these limits an account that floods
// would fill the claim log, the platform's write capacity, and memory with bodies.
func (b *bounds) addUnsent(c *call, maxCalls int, maxBytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unsentCalls == nil {
		b.unsentCalls, b.unsentBytes = map[string]int{}, map[string]int64{}
	}
	held, n := b.unsentBytes[c.account.Name], int64(len(c.body))
	if b.unsentCalls[c.account.Name] >= maxCalls || held > 0 && held+n > maxBytes {
		return false
	}
	if n > 0 {
		b.unsentBytes[c.account.Name] += n
		c.countedBytes = n
	}
	b.unsentCalls[c.account.Name]++
	c.unsent = true
	return true
}

// releaseUnsent stops counting a request and its body, after it was sent or has ended.
func (b *bounds) releaseUnsent(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decrementUnsent(c)
	if c.countedBytes == 0 {
		return
	}
	if b.unsentBytes[c.account.Name] -= c.countedBytes; b.unsentBytes[c.account.Name] <= 0 {
		delete(b.unsentBytes, c.account.Name)
	}
	c.countedBytes = 0
}

// releaseUnsentCall stops counting a request that waits for an earlier one.
// Its body stays counted, because it is needed if the earlier one was not run.
func (b *bounds) releaseUnsentCall(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decrementUnsent(c)
}

func (b *bounds) decrementUnsent(c *call) {
	if !c.unsent {
		return
	}
	c.unsent = false
	if b.unsentCalls[c.account.Name]--; b.unsentCalls[c.account.Name] == 0 {
		delete(b.unsentCalls, c.account.Name)
	}
}

// addReceiving reserves n bytes for a body that is being received, and returns false
// if that would exceed the limit of its account. A body alone may exceed the limit.
// Slow senders hold memory before the bounds of the queue apply.
func (b *bounds) addReceiving(account string, n, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.receivingBytes == nil {
		b.receivingBytes = map[string]int64{}
	}
	if b.receivingBytes[account] > 0 && b.receivingBytes[account]+n > limit {
		return false
	}
	b.receivingBytes[account] += n
	return true
}

func (b *bounds) removeReceiving(account string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.receivingBytes[account] -= n; b.receivingBytes[account] <= 0 {
		delete(b.receivingBytes, account)
	}
}
