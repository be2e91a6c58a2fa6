package dispatch_test

import (
	"net/rpc"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/dispatch"
)

// TestStartAfterOneRoundTrip guards against a request that waits for a timer although a target
// has a free slot. It must start after one round trip to the owner.
func TestStartAfterOneRoundTrip(t *testing.T) {
	run(t, 3, document(1, 2, 2, "a"), func(f *fleet) {
		for _, n := range f.Nodes() {
			f.c.Assert(f.client(n.Member.Name, "a").Do(f.ctx, 1), qt.IsNil)
			time.Sleep(2 * time.Second)
		}
		for _, waited := range f.meter.Waits("a") {
			f.c.Assert(waited <= 6*time.Millisecond, qt.IsTrue, qt.Commentf("waited %s", waited))
		}
	})
}

// TestRPCReceivers guards against receivers whose methods net/rpc doesn't accept.
func TestRPCReceivers(t *testing.T) {
	d := &dispatch.Dispatcher{}
	server := rpc.NewServer()
	qt.Assert(t, server.RegisterName("Owner", d.OwnerReceiver()), qt.IsNil)
	qt.Assert(t, server.RegisterName("Holder", d.HolderReceiver()), qt.IsNil)
}

// TestSaturation guards against slots that stay idle while requests wait, and
// against more requests in flight than the limit, in a network with delay and loss.
func TestSaturation(t *testing.T) {
	run(t, 9, document(6, 4, 4, "a", "b", "c"), func(f *fleet) {
		for i, n := range f.Nodes() {
			c := f.client(n.Member.Name, string(rune('a'+i%3)))
			c.TimePerCost = time.Second
			go c.KeepOutstanding(f.ctx, 10)
		}
		time.Sleep(time.Second)
		begin := f.busy()
		time.Sleep(20 * time.Second)
		used := float64(f.busy()-begin) / float64(20*time.Second*24)
		f.c.Assert(used > 0.97, qt.IsTrue, qt.Commentf("slots in use %.3f", used))
		for _, target := range f.Document.Targets {
			f.assertNeverAbove(target.Name, 4)
		}
	})
}

func (f *fleet) busy() time.Duration {
	var sum time.Duration
	for _, t := range f.Document.Targets {
		sum += f.Target(t.Name).BusyTime()
	}
	return sum
}
