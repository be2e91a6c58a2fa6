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

// trouble injects faults in overlapping series until the time is over, and heals
// them all.
func (w *world) trouble(ctx context.Context, until time.Time) {
	var running sync.WaitGroup
	for ctx.Err() == nil && time.Now().Before(until) {
		name, fault := w.draw()
		span := time.Duration(300+w.random.IntN(3500)) * time.Millisecond
		w.faults = append(w.faults, fmt.Sprintf("%.1f s %s for %.1f s", time.Since(w.judge.began).Seconds(), name, span.Seconds()))
		running.Go(func() { fault(ctx, span) })
		sleep(ctx, time.Duration(100+w.random.IntN(1200))*time.Millisecond)
	}
	running.Wait()
}

// draw picks the next fault.
func (w *world) draw() (string, func(context.Context, time.Duration)) {
	m := w.machines[w.random.IntN(len(w.machines))]
	modes := []mode{delayed, silent, mute, deaf, refuse}
	x := modes[w.random.IntN(len(modes))]
	t := w.anyTarget()
	switch w.random.IntN(14) {
	case 0:
		return "kill " + m.name, func(ctx context.Context, d time.Duration) { w.restart(ctx, m, syscall.SIGKILL, d/4) }
	case 1, 2:
		return "stop " + m.name, func(ctx context.Context, d time.Duration) { w.restart(ctx, m, syscall.SIGTERM, d/8) }
	case 3:
		return "freeze " + m.name, func(ctx context.Context, d time.Duration) { w.freeze(ctx, m, d) }
	case 4:
		return fmt.Sprintf("store %s for %s", x, m.name), func(ctx context.Context, d time.Duration) { w.proxied(ctx, m.store, x, d, m.frontend()) }
	case 5:
		return fmt.Sprintf("callers %s of %s", x, m.name), func(ctx context.Context, d time.Duration) { w.proxied(ctx, m.front, x, d, m.frontend()) }
	case 6:
		return fmt.Sprintf("target %s %s", t.id, x), func(ctx context.Context, d time.Duration) { w.proxied(ctx, t.proxy, x, d, t.id) }
	case 7:
		return "reset connections of " + m.name, func(context.Context, time.Duration) {
			defer w.judge.disturb(m.frontend())()
			m.front.reset()
			m.store.reset()
		}
	case 8:
		return "store down", func(ctx context.Context, d time.Duration) {
			w.outage(ctx, standin.Fault{Outage: standin.OutageRefuse}, d)
		}
	case 9:
		return "store slow and lossy", func(ctx context.Context, d time.Duration) {
			w.outage(ctx, standin.Fault{Delay: config.Duration(200 * time.Millisecond), LoseResponse: 0.3}, d)
		}
	case 10:
		return "crash of " + t.id, func(ctx context.Context, d time.Duration) {
			t.crash()
			sleep(ctx, d)
			w.replace(t)
		}
	case 11:
		announced := w.random.IntN(2) == 0
		return fmt.Sprintf("leave of %s, announced %t", t.id, announced), func(context.Context, time.Duration) {
			w.replace(t)
			t.leave(announced)
		}
	case 12:
		return "answers lost and spoiled at " + t.id, func(ctx context.Context, d time.Duration) {
			t.spoil(0.1, 0.1)
			sleep(ctx, d)
			t.spoil(0, 0)
		}
	default:
		account := accounts[w.random.IntN(len(accounts))]
		return "new key of " + account, func(context.Context, time.Duration) { w.newKey(account) }
	}
}

// anyTarget picks a target that serves.
func (w *world) anyTarget() *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[w.random.IntN(len(w.targets))]
}

// replace starts a new target in the place of one that goes.
func (w *world) replace(t *target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.targets {
		if o == t {
			w.targets = append(w.targets[:i], w.targets[i+1:]...)
			if err := w.startTarget(t.service, t.zone, true); err != nil {
				w.judge.report("SOAK", "start a target: %v", err)
			}
			return
		}
	}
}

func (w *world) restart(ctx context.Context, m *machine, s syscall.Signal, pause time.Duration) {
	if !m.busy.CompareAndSwap(false, true) {
		return
	}
	defer m.busy.Store(false)
	defer w.judge.disturb(m.frontend())()
	m.end(s)
	sleep(ctx, pause)
	if err := m.start(); err != nil {
		w.judge.report("SOAK", "%v", err)
	}
}

func (w *world) freeze(ctx context.Context, m *machine, d time.Duration) {
	if !m.busy.CompareAndSwap(false, true) {
		return
	}
	defer m.busy.Store(false)
	defer w.judge.disturb(m.frontend())()
	m.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	m.signal(syscall.SIGCONT)
}

// proxied lets a proxy disturb what passes it.
func (w *world) proxied(ctx context.Context, p *proxy, x mode, d time.Duration, what string) {
	defer w.judge.disturb(what)()
	p.set(x)
	sleep(ctx, d)
	p.set(pass)
}

func (w *world) outage(ctx context.Context, f standin.Fault, d time.Duration) {
	defer w.judge.disturb(storeName)()
	if err := w.store.SetFault(standin.MetadataFault{Fault: f}); err != nil {
		w.judge.report("SOAK", "%v", err)
	}
	sleep(ctx, d)
	if err := w.store.SetFault(standin.MetadataFault{Compact: d > 2*time.Second}); err != nil {
		w.judge.report("SOAK", "%v", err)
	}
}

// newKey takes the account's key away and gives it another one.
func (w *world) newKey(account string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.keys[account]
	w.keys[account] = "key-" + sum(account, w.options.Seed, w.version)
	if err := w.configure(); err != nil {
		w.judge.report("SOAK", "%v", err)
	}
	w.judge.replace(old, w.keys[account])
}
