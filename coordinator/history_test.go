package coordinator

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/member"
)

// Guards against a document that is sent whole with each change. At the planned
// fleet size it is over a megabyte.
func TestConfigurationIsSentAsChange(t *testing.T) {
	c := qt.New(t)
	sender := &Node{Self: member.Member{Name: "sender", Domain: "kurume"}}
	receiver := &Node{Self: member.Member{Name: "receiver", Domain: "kurume"}}
	sender.init()
	receiver.init()
	target := func(version uint64) config.Target {
		return config.Target{Name: "engine", MaxLimit: int(version)}
	}
	document := config.Document{Version: 1, Targets: []config.Target{target(1)}}
	sender.adoptConfiguration(document)
	send := func() Feed {
		f := sender.feedFor(Seen{}, receiver.Configuration().Version, false)
		receiver.apply(f)
		return f
	}
	checkReceived := func(c *qt.C, whole bool) {
		c.Helper()
		f := send()
		c.Check(f.Configuration != nil, qt.Equals, whole)
		c.Check(f.Change != nil, qt.Equals, !whole)
		c.Check(receiver.Configuration(), qt.DeepEquals, sender.Configuration())
	}
	c.Run("first version", func(c *qt.C) { checkReceived(c, true) })
	for _, behind := range []uint64{1, 2, historyVersions} {
		c.Run(fmt.Sprint(behind, " versions behind"), func(c *qt.C) {
			for range behind {
				version := sender.Configuration().Version + 1
				sender.adoptConfiguration(document.WithTarget(target(version)).WithVersion(version))
			}
			checkReceived(c, false)
		})
	}
	c.Run("too far behind", func(c *qt.C) {
		for range historyVersions + 1 {
			version := sender.Configuration().Version + 1
			sender.adoptConfiguration(document.WithTarget(target(version)).WithVersion(version))
		}
		checkReceived(c, true)
	})
	c.Run("nothing sent when up to date", func(c *qt.C) {
		f := send()
		c.Check(f.Configuration == nil && f.Change == nil, qt.IsTrue)
	})
	c.Run("a change of another base is ignored", func(c *qt.C) {
		receiver.apply(Feed{Change: &config.Delta{Base: 1, Version: 1000}})
		c.Check(receiver.Configuration().Version, qt.Equals, sender.Configuration().Version)
	})
}
