package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/standin"
)

// injectFaults starts faults that overlap until the given time, and returns when
// all of them have ended.
func (c *cluster) injectFaults(ctx context.Context, until time.Time) {
	var running sync.WaitGroup
	for ctx.Err() == nil && time.Now().Before(until) {
		name, fault := c.drawFault()
		span := time.Duration(300+c.random.IntN(3500)) * time.Millisecond
		c.faults = append(c.faults, fmt.Sprintf("%.1f s %s for %.1f s", time.Since(c.checker.began).Seconds(), name, span.Seconds()))
		running.Go(func() { fault(ctx, span) })
		sleep(ctx, time.Duration(100+c.random.IntN(1200))*time.Millisecond)
	}
	running.Wait()
}

// drawFault draws the next fault and returns its description and a function that
// runs it for a duration.
func (c *cluster) drawFault() (string, func(context.Context, time.Duration)) {
	p := c.processes[c.random.IntN(len(c.processes))]
	modes := []mode{modeDelay, modeBlock, modeBlockServer, modeBlockClient, modeReset}
	m := modes[c.random.IntN(len(modes))]
	t := c.randomTarget()
	switch c.random.IntN(14) {
	case 0:
		return "kill " + p.name, func(ctx context.Context, d time.Duration) { c.restart(ctx, p, syscall.SIGKILL, d/4) }
	case 1, 2:
		return "stop " + p.name, func(ctx context.Context, d time.Duration) { c.restart(ctx, p, syscall.SIGTERM, d/8) }
	case 3:
		return "freeze " + p.name, func(ctx context.Context, d time.Duration) { c.freeze(ctx, p, d) }
	case 4:
		return fmt.Sprintf("store %s for %s", m, p.name), func(ctx context.Context, d time.Duration) { c.impair(ctx, p.storeProxy, m, d, p.frontend()) }
	case 5:
		return fmt.Sprintf("callers %s of %s", m, p.name), func(ctx context.Context, d time.Duration) { c.impair(ctx, p.frontendProxy, m, d, p.frontend()) }
	case 6:
		return fmt.Sprintf("target %s %s", t.id, m), func(ctx context.Context, d time.Duration) { c.impair(ctx, t.proxy, m, d, t.id) }
	case 7:
		return "reset connections of " + p.name, func(context.Context, time.Duration) {
			defer c.checker.beginFault(p.frontend())()
			p.frontendProxy.reset()
			p.storeProxy.reset()
		}
	case 8:
		return "store down", func(ctx context.Context, d time.Duration) {
			c.outage(ctx, standin.Fault{Outage: standin.OutageRefuse}, d)
		}
	case 9:
		return "store slow and lossy", func(ctx context.Context, d time.Duration) {
			c.outage(ctx, standin.Fault{Delay: config.Duration(200 * time.Millisecond), LoseResponse: 0.3}, d)
		}
	case 10:
		return "crash of " + t.id, func(ctx context.Context, d time.Duration) {
			t.crash()
			sleep(ctx, d)
			c.replaceTarget(t)
		}
	case 11:
		announced := c.random.IntN(2) == 0
		return fmt.Sprintf("leave of %s, announced %t", t.id, announced), func(context.Context, time.Duration) {
			c.replaceTarget(t)
			t.leave(announced)
		}
	case 12:
		return "time asked for, answers lost and spoiled at " + t.id, func(ctx context.Context, d time.Duration) {
			if !t.cold {
				t.askForTime(d)
				sleep(ctx, d)
			}
			t.setResponseFaults(0.1, 0.1)
			sleep(ctx, d)
			t.setResponseFaults(0, 0)
		}
	default:
		account := accounts[c.random.IntN(len(accounts))]
		return "new key of " + account, func(context.Context, time.Duration) { c.replaceKey(account) }
	}
}

// randomTarget returns a target that has not been replaced.
func (c *cluster) randomTarget() *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[c.random.IntN(len(c.targets))]
}

// replaceTarget starts a cold target in place of one that leaves or has crashed. It does
// nothing if another fault has already replaced the target.
func (c *cluster) replaceTarget(t *target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.targets {
		if o == t {
			c.targets = append(c.targets[:i], c.targets[i+1:]...)
			if err := c.startTarget(t.service, t.domain, true); err != nil {
				c.checker.report("SOAK", "start a target: %v", err)
			}
			return
		}
	}
}

// restart ends the process with the signal and starts it again after the pause. It does
// nothing while another fault restarts or freezes the process.
func (c *cluster) restart(ctx context.Context, p *process, s syscall.Signal, pause time.Duration) {
	if !p.faultActive.CompareAndSwap(false, true) {
		return
	}
	defer p.faultActive.Store(false)
	defer c.checker.beginFault(p.frontend())()
	p.stop(s)
	sleep(ctx, pause)
	if err := p.start(); err != nil {
		c.checker.report("SOAK", "%v", err)
	}
}

// allDownTime is how long all daemons are down after they were killed together.
const allDownTime = 300 * time.Millisecond

// killAll kills all daemons at the same time, as often as the options say. Daemons that another
// fault restarts or freezes at that moment are left to it.
func (c *cluster) killAll(ctx context.Context) {
	pause := c.options.FaultDuration / time.Duration(c.options.Kills+1)
	for range c.options.Kills {
		sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		var restarts sync.WaitGroup
		for _, p := range c.processes {
			restarts.Go(func() { c.restart(ctx, p, syscall.SIGKILL, allDownTime) })
		}
		restarts.Wait()
	}
}

// freeze stops the process with SIGSTOP for the duration. It does nothing while another
// fault restarts or freezes the process.
func (c *cluster) freeze(ctx context.Context, p *process, d time.Duration) {
	if !p.faultActive.CompareAndSwap(false, true) {
		return
	}
	defer p.faultActive.Store(false)
	defer c.checker.beginFault(p.frontend())()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	p.signal(syscall.SIGCONT)
}

// impair sets the proxy to a mode for a duration. The component is the one that
// the fault affects.
func (c *cluster) impair(ctx context.Context, p *proxy, m mode, d time.Duration, component string) {
	defer c.checker.beginFault(component)()
	p.set(m)
	sleep(ctx, d)
	p.set(modePass)
}

// outage sets a fault of the metadata store for the duration. If it lasts longer than
// 2 s, the store also loses its history at the end.
func (c *cluster) outage(ctx context.Context, f standin.Fault, d time.Duration) {
	defer c.checker.beginFault(storeComponent)()
	if err := c.store.SetFault(standin.MetadataFault{Fault: f}); err != nil {
		c.checker.report("SOAK", "%v", err)
	}
	sleep(ctx, d)
	if err := c.store.SetFault(standin.MetadataFault{Compact: d > 2*time.Second}); err != nil {
		c.checker.report("SOAK", "%v", err)
	}
}

// replaceKey revokes the account's key and gives it a new one.
func (c *cluster) replaceKey(account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.keys[account]
	c.keys[account] = "key-" + digest(account, c.options.Seed, c.version)
	if err := c.configure(); err != nil {
		c.checker.report("SOAK", "%v", err)
	}
	c.checker.keyReplaced(old, c.keys[account])
}
