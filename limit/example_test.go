package limit_test

import (
	"fmt"
	"time"

	"rattanline.example/rattanline/limit"
)

func ExampleController() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	c := limit.New(2, 8)
	fmt.Println("cold:", c.Limit())
	for range 8 {
		now = now.Add(time.Second)
		c.Report(now, limit.Load{Incarnation: "a"}) // no queue
		c.Observe(now, limit.Observation{Successes: c.Limit(), FirstByte: 50 * time.Millisecond, Saturated: true, Incarnation: "a"})
	}
	fmt.Println("warm:", c.Limit(), c.Ramping())
	now = now.Add(time.Second)
	c.Observe(now, limit.Observation{Overloads: 1, Incarnation: "a"})
	fmt.Println("overloaded:", c.Limit())
	c.Report(now, limit.Load{Incarnation: "b"}) // restarted
	fmt.Println("cold again:", c.Limit(), c.Ramping())
	// Output:
	// cold: 2
	// warm: 8 false
	// overloaded: 4
	// cold again: 2 true
}
