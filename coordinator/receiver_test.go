package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/member"
)

// Guards against follower leases that are counted under an older table than the
// follower's, after they expired, or for another run or coordinator.
func TestFollowerLeaseCounted(t *testing.T) {
	now := time.Now()
	own := member.Member{Name: "a1", Domain: "a", Incarnation: "run", State: member.Live, Counted: true}
	send := func(c *qt.C, change func(*HeartbeatArgs)) HeartbeatReply {
		n := &Node{Self: own}
		n.init()
		n.started = now.Add(-time.Minute)
		n.adoptTable(member.Table{Domain: "a", Epoch: member.Epoch{Revision: 5}, Members: []member.Member{own}})
		described := own
		ro := n.beginTerm(member.Epoch{Revision: 4}, now)
		defer ro.end()
		args := HeartbeatArgs{
			Name: "a1", Domain: "a", Incarnation: "run", Member: &described, Follow: true, Epoch: member.Epoch{Revision: 5},
			Echo: Echo{Coordinator: "a1/run", Stamp: int64(59 * time.Second)},
		}
		change(&args)
		var reply HeartbeatReply
		c.Assert((&Receiver{node: n}).Heartbeat(args, &reply), qt.IsNil)
		return reply
	}
	for name, test := range map[string]struct {
		change   func(*HeartbeatArgs)
		leases   int
		accepted bool
	}{
		"counted":           {func(*HeartbeatArgs) {}, 1, true},
		"older table":       {func(a *HeartbeatArgs) { a.Epoch.Revision = 6 }, 0, false},
		"promised to other": {func(a *HeartbeatArgs) { a.Follow = false }, 0, true},
		"old echo":          {func(a *HeartbeatArgs) { a.Echo.Stamp -= int64(2100 * time.Millisecond) }, 0, true},
		"echo of other":     {func(a *HeartbeatArgs) { a.Echo.Coordinator = "a2/run" }, 0, true},
		"another run":       {func(a *HeartbeatArgs) { a.Incarnation, a.Member.Incarnation = "next", "next" }, 0, false},
	} {
		qt.New(t).Run(name, func(c *qt.C) {
			reply := send(c, test.change)
			c.Check(reply.Coordinator, qt.IsTrue)
			c.Check(reply.Share, qt.Equals, member.Share{Leases: test.leases, Counted: 1})
			c.Check(reply.Accepted, qt.Equals, test.accepted)
		})
	}
	qt.New(t).Run("tables that the follower holds", func(c *qt.C) {
		c.Check(send(c, func(*HeartbeatArgs) {}).Feed.Tables, qt.HasLen, 0)
		other := func(a *HeartbeatArgs) { a.Name, a.Member.Name = "a2", "a2" }
		c.Check(send(c, other).Feed.Tables, qt.HasLen, 1)
		held := []TableEpoch{{Domain: "a", Epoch: member.Epoch{Revision: 5}}}
		c.Check(send(c, func(a *HeartbeatArgs) { other(a); a.Epochs = held }).Feed.Tables, qt.HasLen, 0)
	})
	qt.New(t).Run("newer configuration of a follower", func(c *qt.C) {
		reply := send(c, func(a *HeartbeatArgs) { a.Configuration = &config.Document{Version: 3} })
		c.Check(reply.Version, qt.Equals, uint64(3))
	})
}
