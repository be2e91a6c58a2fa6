package edge

import (
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/directory"
	"rattanline.example/rattanline/exchange"
	"rattanline.example/rattanline/platform"
)

const (
	// addressTTL is how long callers may cache the addresses.
	addressTTL = time.Second
	// minDomainDaemons is the minimum number of ready daemons in a failure domain for
	// its callers to receive only addresses in that domain.
	minDomainDaemons = 2
)

// resolveTTL returns addressTTL, limited by Settings.MaxAddressTTL if that is set.
func (d *Daemon) resolveTTL() time.Duration {
	if limit := d.Settings.MaxAddressTTL; limit > 0 {
		return min(addressTTL, limit)
	}
	return addressTTL
}

// resolve returns at most directory.MaxHosts frontend addresses. It selects them from the
// daemons that are live and ready: those in the caller's failure domain if at least
// minDomainDaemons are ready there, else those in any. If none is ready, it selects
// from all live daemons that are not leaving.
func (d *Daemon) resolve(q platform.ResolveRequest) platform.ResolveResponse {
	now := clock.Now()
	var local, ready, present []exchange.Status
	add := func(s exchange.Status) {
		if s.Leaving {
			return
		}
		present = append(present, s)
		if !s.Ready {
			return
		}
		ready = append(ready, s)
		if s.Domain == q.Domain {
			local = append(local, s)
		}
	}
	add(exchange.Status{Member: d.self, Ready: d.ready(), Leaving: d.leaving.Load(), Room: d.room()})
	for _, p := range d.exchange.Peers() {
		if p.Live(now) {
			add(p.Status)
		}
	}
	list := present
	switch {
	case len(local) >= minDomainDaemons:
		list = local
	case len(ready) > 0:
		list = ready
	}
	hosts := make([]directory.Host, 0, len(list))
	for _, s := range list {
		hosts = append(hosts, hostOf(s, s.Frontend))
	}
	var addresses []string
	for _, h := range d.selector.Select(hosts, q.Caller, now) {
		addresses = append(addresses, h.Address)
	}
	d.Logger.Info().Str("caller", q.Caller).Str("caller-failure-domain", q.Domain).Int("candidates", len(list)).Strs("addresses", addresses).Msg("directory answered")
	return platform.ResolveResponse{Addresses: addresses, TTL: d.resolveTTL()}
}

// hostOf returns the host of a daemon with the status, at the address.
func hostOf(s exchange.Status, address string) directory.Host {
	room, known := s.Room.Cores()
	return directory.Host{Name: s.Name, Address: address, Cores: s.Cores, Room: room, RoomKnown: known}
}

// room returns the processor time that the host has left, for the other daemons.
func (d *Daemon) room() exchange.Room {
	cores := d.Settings.Cores
	if cores <= 0 {
		return 0
	}
	l := d.overload.load()
	if d.withdrawn() || l.lag > refuseLag {
		return exchange.RoomOf(0)
	}
	return exchange.RoomOf(cores * (refuseUtilization - l.utilization))
}
