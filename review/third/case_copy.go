package main

import (
	"sync"
	"time"
)

// revokeAfterCopy lets the store come back from a copy some seconds old, and the operator take a key
// away afterwards. It checks that no request with the key runs that was sent later than revoke_ms
// after the acknowledgement.
func revokeAfterCopy(f *fleet, trouble bool) (verdict, error) {
	const revokeTime = 5 * time.Second
	kept, taken := tenant{"hule930", []string{"keptkey0001"}}, tenant{"miso204", []string{"takenkey0002", "otherkey0003"}}
	f.write(newConfiguration(3, kept, taken))
	if err := f.addServers(12, kind{service: assistService, slots: 64, events: 6, gap: 20 * time.Millisecond}); err != nil {
		return notRun, err
	}
	if err := f.addServers(3, kind{service: deskService, slots: 6, work: 15 * time.Millisecond}); err != nil {
		return notRun, err
	}
	if err := f.startMachines(3); err != nil {
		return notRun, err
	}
	f.record.note("all daemons are ready")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range f.machines {
		for _, key := range []string{kept.APIKeys[0], taken.APIKeys[0]} {
			clients.Go(func() {
				c := &client{record: f.record, address: m.at(frontendPort)}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
						c.send(message{method: "GET", path: lookupPath + "2f", key: key, deadline: 1500 * time.Millisecond})
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	older := f.store.copy()
	f.record.note("the store's copy is made at revision %d", older.revision)
	time.Sleep(4500 * time.Millisecond)
	second := newConfiguration(5, kept, taken)
	second.Routes[2].TimeoutMS = 14000
	f.write(second)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.record.note("the store goes away at revision %d", f.store.revision())
		f.store.goAway()
		time.Sleep(time.Second)
		f.store.comeBack(&older)
		f.record.note("the store is back, from the copy of revision %d", older.revision)
		for _, s := range f.servers { // what the servers and the operator wrote is written again
			s.beat()
		}
		f.write(second)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(time.Second)
	third := newConfiguration(8, kept, tenant{taken.Name, taken.APIKeys[1:]})
	acknowledged, _ := f.write(third)
	time.Sleep(revokeTime + 15*time.Second)
	close(stop)
	clients.Wait()
	runs := f.record.allRuns()
	late, refused, served := 0, 0, 0
	for _, s := range f.record.allRequests() {
		if s.key == kept.APIKeys[0] && s.status == 200 {
			served++
		}
		if s.key != taken.APIKeys[0] || !s.at.After(acknowledged.Add(revokeTime)) {
			continue
		}
		if len(runs[s.id]) > 0 {
			late++
		} else if s.status == 401 {
			refused++
		}
	}
	f.record.note("requests with the key that was taken away, sent later than 5 s after the acknowledgement: %d ran, %d got 401; requests with the other key: %d served", late, refused, served)
	if served == 0 {
		return notRun, nil
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
