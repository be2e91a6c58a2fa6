package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against daemons that don't find each other or their coordinators.
func TestJoin(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.accept(1)
		fl.startAll("abc", 3)
		c.Log("settled, platform calls", fl.store.total(), fl.store.calls)
		c.Check(fl.allHave(1)(), qt.IsTrue)
		fl.run(10 * time.Second)
		c.Check(fl.settled(3), qt.IsTrue)
	})
}
