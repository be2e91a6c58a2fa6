package main

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// small is the deployment hurma-tirmanis.
var small = fleetOptions{daemons: 9, engines: 9, desks: 3}

// large is a fleet with hubs: of 16 daemons on, most don't read the store themselves.
var large = fleetOptions{daemons: 18, engines: 9, desks: 3}

var cases = map[string]testCase{
	"poison": {small, poison},
	"cold":   {small, coldAgain},
	"kills":  {small, poisonAndKills},
	"revoke": {large, revokeWhileRead},
}

const (
	// poisonInterval is the pause between two attempts of the client whose request crashes engines,
	// restartTime how long a crashed engine is away.
	poisonInterval = 1500 * time.Millisecond
	restartTime    = 4 * time.Second
	poisonTime     = 30 * time.Second
	// poisonEvents is the number of events that an engine sends before such a request crashes it.
	poisonEvents = 2
	// allowedRetries is how many retries may reach servers later than contactTime after the third
	// crash.
	allowedRetries = 3
)

// crashes holds when engines crashed.
type crashes struct {
	mu   sync.Mutex
	list []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, time.Now())
}

func (c *crashes) all() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := append([]time.Time(nil), c.list...)
	sort.Slice(list, func(i, j int) bool { return list[i].Before(list[j]) })
	return list
}

// restartCrashed starts the crashed server again, as a new incarnation, until the context ends.
func (s *server) restartCrashed(ctx context.Context, c *crashes) {
	for ctx.Err() == nil {
		s.mu.Lock()
		ended := s.ended
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ended:
		}
		c.add()
		time.Sleep(restartTime)
		if ctx.Err() == nil {
			_ = s.start(true)
		}
	}
}

// poison sends one request again and again that crashes each engine that runs it.
func poison(f *fleet, trouble bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.traffic(ctx, 60, func() call { return f.prompt("/chat/", 100, 400, 120) })
	var seen crashes
	for _, s := range f.servers {
		if s.service != engineService {
			continue
		}
		if trouble {
			s.crashAfter.Store(poisonEvents)
		}
		go s.restartCrashed(ctx, &seen)
	}
	time.Sleep(contactTime)
	q := f.prompt("/review/", 2500, 400, 80)
	q.body = poisonMark + q.body
	c := f.newClient(zones[0])
	for end := time.Now().Add(poisonTime); time.Now().Before(end); time.Sleep(poisonInterval) {
		if a := c.address(); a != "" {
			c.send(a, q)
		}
	}
	cancel()
	return judgePoison(f, seen.all()), nil
}

// judgePoison counts the retries that reached servers too late.
func judgePoison(f *fleet, list []time.Time) verdict {
	if len(list) < 3 {
		return verdict{reason: fmt.Sprintf("%d engines crashed", len(list))}
	}
	late := 0
	for _, r := range f.runs.all() {
		if r.poison && r.at.Sub(list[2]) > contactTime {
			late++
		}
	}
	reason := fmt.Sprintf("%d engines crashed, %d retries reached servers later than %s after the third crash, %d are allowed", len(list), late, contactTime, allowedRetries)
	return verdict{late > allowedRetries, reason}
}

const (
	// outageTime is how long the store is silent.
	outageTime = 4700 * time.Millisecond
	// engineTraffic is the requests for engines per second on the day scale-1.
	engineTraffic = 135
	// burstFactor is by how much the traffic rises for burstTime.
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	// coldPause is the pause until the next engine becomes cold.
	coldPause = 40 * time.Millisecond
	// warmUpTime is how long the fleet serves before the outage.
	warmUpTime = 5 * time.Second
)

// coldAgain makes the engines cold again, one after the other, while the store is silent and many users
// come at once.
func coldAgain(f *fleet, trouble bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.traffic(ctx, engineTraffic, func() call { return f.prompt("/chat/", 100, 400, 60) })
	time.Sleep(warmUpTime)
	var seen crashes
	for _, s := range f.servers {
		if s.service == engineService {
			go s.restartCrashed(ctx, &seen)
		}
	}
	burst, end := context.WithTimeout(ctx, burstTime)
	defer end()
	f.record.add("burst")
	go f.traffic(burst, (burstFactor-1)*engineTraffic, func() call { return f.prompt("/chat/", 100, 400, 60) })
	if trouble {
		f.record.add("store falls silent")
		f.store.setSilent(true)
	}
	silentSince := time.Now()
	for _, s := range f.servers {
		if s.service == engineService {
			time.Sleep(coldPause)
			s.becomeCold()
		}
	}
	time.Sleep(time.Until(silentSince.Add(outageTime)))
	f.store.setSilent(false)
	f.record.add("store answers")
	time.Sleep(2 * time.Second)
	cancel()
	most := 0
	for _, r := range f.runs.all() {
		most = max(most, r.cold)
	}
	reason := fmt.Sprintf("a cold engine got up to %d requests in one second, %.1f are allowed; %d engines crashed", most, coldBound, len(seen.all()))
	return verdict{float64(most) > coldBound, reason}, nil
}

const (
	// kills is how often all daemons are killed.
	kills = 3
	// calmInterval is the pause between two attempts, in which the fleet is left alone. It is longer
	// than contactTime, so that all daemons are in touch.
	calmInterval = 4 * time.Second
)

// poisonAndKills kills all daemons several times, while one request comes again and again that crashes
// each engine as it begins to run it.
func poisonAndKills(f *fleet, trouble bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.traffic(ctx, 60, func() call { return f.prompt("/chat/", 100, 400, 120) })
	var seen crashes
	for _, s := range f.servers {
		if s.service == engineService {
			s.crashAfter.Store(0)
			go s.restartCrashed(ctx, &seen)
		}
	}
	q := f.prompt("/review/", 2500, 400, 80)
	q.body = poisonMark + q.body
	c := f.newClient(zones[0])
	for life := range kills + 1 {
		if life > 0 && trouble {
			f.kill(f.daemons)
			for _, d := range f.daemons {
				if err := f.startDaemon(d); err != nil {
					return verdict{}, err
				}
			}
			if err := f.awaitReady(f.daemons); err != nil {
				return verdict{}, err
			}
		}
		for range 3 {
			time.Sleep(calmInterval)
			if a := c.address(); a != "" {
				c.send(a, q)
			}
		}
	}
	cancel()
	return judgePoison(f, seen.all()), nil
}

const (
	// slowAnswer is how long the store takes for an answer while it is slow, 60 times as long as usual.
	slowAnswer = 60 * storeTime
	slowTime   = 4500 * time.Millisecond
	// deafTime is how long watches hear nothing before the history is discarded.
	deafTime = time.Second
	// The daemons that read the store notice the loss of the history with the answer to the watch that
	// follows a cut one. The first of two pages is read an answer later, the second one after another.
	revokeAfter = 560 * time.Millisecond
	drainAfter  = 80 * time.Millisecond
	// revokeTime is revoke_ms of the settings.
	revokeTime = 5 * time.Second
	// observeTime is how long requests with the key are sent after the key was taken away.
	observeTime = 20 * time.Second
)

// firstEngine and lastEngine return the engines whose entries come first and last in a read of the store.
func (f *fleet) firstEngine() *server {
	return slices.MinFunc(f.servers[:f.options.engines], func(a, b *server) int { return strings.Compare(a.id, b.id) })
}

func (f *fleet) lastEngine() *server {
	return slices.MaxFunc(f.servers[:f.options.engines], func(a, b *server) int { return strings.Compare(a.id, b.id) })
}

// revokeWhileRead takes a key away while the daemons that read the store read all of it, because it
// discarded its history.
func revokeWhileRead(f *fleet, trouble bool) (verdict, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.traffic(ctx, 20, func() call { return f.prompt("/chat/", 100, 400, 60) })
	time.Sleep(warmUpTime)
	if trouble {
		f.record.add("watches hear nothing")
		f.store.deafen()
		time.Sleep(deafTime / 2)
		f.firstEngine().drain()
		time.Sleep(deafTime / 2)
		f.record.add("store discards its history and turns slow")
		f.store.setAnswerTime(slowAnswer)
		time.AfterFunc(slowTime, func() {
			f.record.add("store is as fast as usual")
			f.store.setAnswerTime(storeTime)
		})
		if err := f.store.compact(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(revokeAfter)
	key := f.revokeLast()
	f.configure()
	revoked := time.Now()
	f.record.add("configuration %d takes key %s away, acknowledged", f.version, key)
	time.Sleep(drainAfter)
	f.lastEngine().drain()
	for i := 0; time.Since(revoked) < observeTime; i++ {
		q := f.prompt("/chat/", 100, 400, 20)
		q.key = key
		d := f.daemons[i%len(f.daemons)]
		c := f.newClient(d.zone)
		go c.send(fmt.Sprintf("%s:%d", d.ip, f.ports.frontend), q)
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	late, by := 0, map[string]bool{}
	for _, r := range f.runs.all() {
		if s := f.sent[r.request]; s.key == key && s.at.Sub(revoked) > revokeTime {
			late++
			by[s.to] = true
		}
	}
	reason := fmt.Sprintf("%d requests ran that were sent later than %s after their key was taken away, by %d of %d daemons", late, revokeTime, len(by), len(f.daemons))
	return verdict{late > 0, reason}, nil
}
