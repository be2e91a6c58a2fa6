package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/routing"
)

func ExampleChoose() {
	r := rand.New(rand.NewPCG(1, 2))
	near := routing.Candidate{Target: "near", Local: true, Free: 1, InFlight: 7, Latency: 20 * time.Millisecond}
	far := routing.Candidate{Target: "far", Free: 4, InFlight: 4, Latency: 20 * time.Millisecond}
	for _, slack := range []time.Duration{5 * time.Millisecond, 10 * time.Millisecond} {
		chosen, _ := routing.Choose([]routing.Candidate{near, far}, slack, r)
		fmt.Println(slack, chosen.Target)
	}
	_, ok := routing.Choose(nil, 0, r)
	fmt.Println(ok)
	// Output:
	// 5ms far
	// 10ms near
	// false
}

func ExampleBudget() {
	b := &routing.Budget{Window: 10 * time.Second, Ratio: 0.1, Slack: func() float64 { return 1 }}
	now := clock.Instant(time.Hour)
	fmt.Println(b.TryRetry("desk", now), b.TryRetry("desk", now))
	for range 10 {
		b.RecordRequest("desk", now)
	}
	fmt.Println(b.TryRetry("desk", now), b.TryRetry("desk", now))
	// Output:
	// true false
	// true false
}
