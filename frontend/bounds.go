package frontend

import "sync"

// bounds limits what the requests of an account hold before the bounds of the
// queue apply to them.
type bounds struct {
	mu sync.Mutex
	// unsent counts claimed requests that wait, by account.
	unsent map[string]int
	// bodies counts the bytes of the bodies of claimed requests that were not
	// sent, by account.
	bodies map[string]int64
	// reading counts the bytes of bodies that are being received, by account.
	reading map[string]int64
}

// addUnsent bounds the claimed requests of an account that wait, so that an
// account that floods fills neither the claim log nor the platform's writes, nor
// the memory with bodies: the bounds of the queue apply only after the claim.
func (b *bounds) addUnsent(c *call, limit int, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unsent == nil {
		b.unsent, b.bodies = map[string]int{}, map[string]int64{}
	}
	held, n := b.bodies[c.account.Name], int64(len(c.body))
	if b.unsent[c.account.Name] >= limit || held > 0 && held+n > bytes {
		return false
	}
	if n > 0 {
		b.bodies[c.account.Name] += n
		c.kept = n
	}
	b.unsent[c.account.Name]++
	c.unsent = true
	return true
}

// sent notes that a claimed request was sent or has ended.
func (b *bounds) sent(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropUnsent(c)
	if c.kept == 0 {
		return
	}
	if b.bodies[c.account.Name] -= c.kept; b.bodies[c.account.Name] <= 0 {
		delete(b.bodies, c.account.Name)
	}
	c.kept = 0
}

// resent notes that a claimed request waits for an earlier one. Its body stays
// counted, since it is kept for the case that the earlier one was not sent.
func (b *bounds) resent(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropUnsent(c)
}

func (b *bounds) dropUnsent(c *call) {
	if !c.unsent {
		return
	}
	c.unsent = false
	if b.unsent[c.account.Name]--; b.unsent[c.account.Name] == 0 {
		delete(b.unsent, c.account.Name)
	}
}

// addReading bounds the bodies that an account sends at once: slow senders hold
// memory before the bounds of the queue apply.
func (b *bounds) addReading(account string, n, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reading == nil {
		b.reading = map[string]int64{}
	}
	if b.reading[account] > 0 && b.reading[account]+n > limit {
		return false
	}
	b.reading[account] += n
	return true
}

func (b *bounds) dropReading(account string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reading[account] -= n; b.reading[account] <= 0 {
		delete(b.reading, account)
	}
}
