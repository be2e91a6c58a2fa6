package exchange

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
)

// configured returns the entry of a configuration whose version is the length of its value.
func configured(version int, revision int64) port.Entry {
	return port.Entry{Key: "config", Value: []byte(strings.Repeat("c", version)), Revision: revision}
}

func decodeConfigured(e port.Entry) (mirror.Record, error) {
	if e.Key != "config" {
		return nil, nil
	}
	return mirror.Configuration{Document: config.Document{Version: uint64(len(e.Value))}}, nil
}

// newConfiguredDaemons returns daemons with one seed that decode configurations.
func newConfiguredDaemons(count int) (*network, []*Exchange) {
	n := &network{at: clock.Instant(time.Hour), receivers: map[string]*Receiver{}, cut: map[string]bool{}}
	all := newDaemons(n, count)
	for _, x := range all {
		x.Mirror.Decode = decodeConfigured
	}
	return n, all
}

// read lets the daemon read a configuration from the key-value service.
func read(x *Exchange, era port.Era, e port.Entry) {
	x.Mirror.Adopt(mirror.Content{Position: port.Position{Era: era, Revision: e.Revision}, Entries: []port.Entry{e}}, x.now())
}

// askPeers lets the daemon make the calls of one round.
func askPeers(t *testing.T, x *Exchange) {
	x.mu.Lock()
	list := x.addresses(x.now(), roundKind{})
	x.decideConfirmation(x.now())
	x.mu.Unlock()
	for address, name := range list {
		x.confirmBy(address, x.call(t.Context(), address, name))
	}
}

// Guards against a daemon that starts while the key-value service, back from a copy, shows an older
// configuration, and acts by it although other daemons act by a newer one.
func TestStartAfterReturn(t *testing.T) {
	old, current := configured(2, 50), configured(5, 70)
	t.Run("a peer acts by a newer configuration", func(t *testing.T) {
		_, all := newConfiguredDaemons(2)
		read(all[0], 1, current)
		askPeers(t, all[0])
		read(all[0], 2, old)
		read(all[1], 2, old)
		qt.Assert(t, all[1].Confirmed(), qt.IsFalse)
		askPeers(t, all[1])
		qt.Assert(t, all[1].Confirmed(), qt.IsTrue)
		qt.Assert(t, all[1].Mirror.View().Version(), qt.Equals, uint64(5))
	})
	t.Run("the peer has not read the returned service yet", func(t *testing.T) {
		_, all := newConfiguredDaemons(2)
		read(all[0], 1, current)
		askPeers(t, all[0])
		read(all[1], 2, old)
		askPeers(t, all[1])
		qt.Assert(t, all[1].Mirror.View().Version(), qt.Equals, uint64(5))
		qt.Assert(t, all[1].Confirmed(), qt.IsFalse) // its other content may still be older
		read(all[0], 2, old)
		askPeers(t, all[1])
		qt.Assert(t, all[1].Confirmed(), qt.IsTrue)
	})
	t.Run("asked before the service was read", func(t *testing.T) {
		_, all := newConfiguredDaemons(2)
		read(all[0], 1, current)
		askPeers(t, all[0])
		all[0].Mirror.LearnEra(2)
		askPeers(t, all[1])
		read(all[1], 2, old)
		qt.Assert(t, all[1].Mirror.View().Version(), qt.Equals, uint64(5))
	})
	t.Run("the peer starts too", func(t *testing.T) {
		_, all := newConfiguredDaemons(2)
		read(all[0], 2, old)
		read(all[1], 2, old)
		askPeers(t, all[1])
		qt.Assert(t, all[1].Confirmed(), qt.IsTrue) // nobody can know more
	})
	t.Run("the peer cannot be reached", func(t *testing.T) {
		n, all := newConfiguredDaemons(2)
		n.cut["link-0"] = true
		read(all[1], 2, old)
		qt.Assert(t, all[1].Confirmed(), qt.IsFalse)
		askPeers(t, all[1])
		qt.Assert(t, all[1].Confirmed(), qt.IsTrue)
	})
	t.Run("the peer does not answer", func(t *testing.T) {
		n, all := newConfiguredDaemons(2)
		x := all[1]
		read(x, 2, old)
		check := func() bool {
			x.mu.Lock()
			x.decideConfirmation(x.now())
			x.mu.Unlock()
			return x.Confirmed()
		}
		qt.Assert(t, check(), qt.IsFalse)
		n.at = n.at.Add(confirmTime)
		qt.Assert(t, check(), qt.IsTrue)
	})
	t.Run("the service states no era", func(t *testing.T) {
		_, all := newConfiguredDaemons(2)
		read(all[1], 0, old)
		qt.Assert(t, all[1].Confirmed(), qt.IsTrue)
		qt.Assert(t, all[1].newMessage(false, "d0").Version, qt.Equals, uint64(0))
		askPeers(t, all[1])
		read(all[1], 1, current)
		qt.Assert(t, all[1].Confirmed(), qt.IsTrue) // it begins to state one
	})
}

// Guards against a daemon that was behind when the key-value service came back from a copy, and stays at
// its older configuration until that is written again.
func TestConfigurationOfPeers(t *testing.T) {
	n, all := newConfiguredDaemons(2)
	read(all[1], 1, configured(2, 50))
	askPeers(t, all[1])
	n.at = n.at.Add(confirmTime)
	askPeers(t, all[1])
	qt.Assert(t, all[1].Confirmed(), qt.IsTrue)
	read(all[0], 1, configured(5, 70))
	askPeers(t, all[0])
	askPeers(t, all[1])
	qt.Assert(t, all[1].Mirror.View().Version(), qt.Equals, uint64(2)) // reads it from the service itself
	for _, x := range all {
		read(x, 2, configured(2, 50))
	}
	askPeers(t, all[1])
	qt.Assert(t, all[1].Mirror.View().Version(), qt.Equals, uint64(5))
	_, isAhead := all[1].Mirror.View().Configuration()
	qt.Assert(t, isAhead, qt.IsTrue)
	read(all[1], 2, configured(5, 80))
	_, isAhead = all[1].Mirror.View().Configuration()
	qt.Assert(t, isAhead, qt.IsFalse)
}

// Guards against daemons that stay in an earlier era of the key-value service because they get its content
// from hubs: in fleets of all sizes one reader brings all of them into the new one.
func TestEraReachesAllDaemons(t *testing.T) {
	for _, count := range []int{3, 9, 18} {
		n, all := newConfiguredDaemons(count)
		publishMembers(t, all)
		for _, x := range all {
			read(x, 1, configured(5, 70))
		}
		n.runRounds(all)
		reader := all[slices.IndexFunc(all, (*Exchange).ShouldPoll)]
		for _, x := range all {
			x.Polling = func() bool { return x == reader }
		}
		read(reader, 2, configured(2, 40))
		n.runRounds(all)
		for _, x := range all {
			v := x.Mirror.View()
			qt.Check(t, v.Position, qt.Equals, port.Position{Era: 2, Revision: 40}, qt.Commentf("%s of %d", x.Self.Name, count))
			qt.Check(t, v.Version(), qt.Equals, uint64(5), qt.Commentf("%s of %d", x.Self.Name, count))
		}
	}
}
