package usage_test

import (
	"fmt"

	"rattanline.example/rattanline/usage"
)

// The counter of an account grows by the cost of its requests divided by its share.
// The account with the lowest counter is served next.
func ExampleLedger() {
	shares := map[string]float64{"counter": 4, "drafts": 1}
	l := usage.NewLedger(usage.Source{Daemon: "d1", Incarnation: "a"}, func(account string) float64 { return shares[account] })
	l.SetWaiting("assistant", "counter", true)
	l.Charge("counter", 100)
	fmt.Println("counter:", l.Counter("assistant", "counter"))

	// An account that starts to wait gets no credit for the time before.
	l.SetWaiting("assistant", "drafts", true)
	fmt.Println("drafts:", l.Counter("assistant", "drafts"))
	l.Charge("drafts", 10)
	fmt.Println("drafts:", l.Counter("assistant", "drafts"))
	// Output:
	// counter: 25
	// drafts: 25
	// drafts: 35
}
