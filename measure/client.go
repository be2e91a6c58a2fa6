package measure

import (
	"context"
	"sync"
	"time"

	"rattanline.example/rattanline/port"
)

// Client sends requests of one account to one daemon.
type Client struct {
	Fleet   *Fleet
	Meter   *Meter
	Daemon  string
	Account string
	Service string
	Urgent  bool
	// TimePerCost is the time that a target takes for a cost of one.
	TimePerCost time.Duration
	// Cost returns the cost of the next request.
	Cost func() float64
	// Hint returns the cost that the client declares to the dispatcher. If it is
	// nil, the client declares the actual cost.
	Hint func(cost float64) float64

	mu sync.Mutex
}

// KeepOutstanding keeps the number of requests outstanding until the context ends.
func (c *Client) KeepOutstanding(ctx context.Context, outstanding int) {
	var wait sync.WaitGroup
	for range outstanding {
		wait.Go(func() {
			for ctx.Err() == nil {
				if c.Do(ctx, c.cost()) != nil {
					pause(ctx, 50*time.Millisecond)
				}
			}
		})
	}
	wait.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (c *Client) cost() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Cost()
}

// Do sends one request and waits until it has ended. It returns an error if the request
// was not started: ErrUnreachable if the daemon does not run, or the dispatcher's error.
func (c *Client) Do(ctx context.Context, cost float64) error {
	n := c.Fleet.Node(c.Daemon)
	if n == nil {
		return ErrUnreachable
	}
	hint := cost
	if c.Hint != nil {
		hint = c.Hint(cost)
	}
	arrived := time.Now()
	a, err := n.Dispatcher.Acquire(ctx, port.Job{Account: c.Account, Service: c.Service, Urgent: c.Urgent, Cost: hint})
	if err != nil {
		return err
	}
	r := &runningRequest{account: c.Account, begin: time.Now(), duration: time.Duration(cost * float64(c.TimePerCost)), cost: cost}
	c.Meter.requestStarted(r, r.begin.Sub(arrived))
	ended := c.Fleet.Target(a.Target().Name).Run(ctx, r.duration, cost, func(fraction float64) { a.Charge(cost * fraction) })
	c.Meter.requestEnded(r, time.Now())
	a.Finish(ended)
	return nil
}
