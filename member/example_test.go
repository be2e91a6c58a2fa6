package member_test

import (
	"fmt"

	"rattanline.example/rattanline/member"
)

func ExampleRank() {
	members := []member.Member{{Name: "d1"}, {Name: "d2"}, {Name: "d3"}}
	for _, target := range []string{"engine-1", "engine-2", "engine-5"} {
		before := member.Rank(target, members)
		after := member.Rank(target, []member.Member{{Name: "d1"}, {Name: "d3"}}) // d2 is gone
		fmt.Println(target, before[0].Name, after[0].Name)
	}
	// Output:
	// engine-1 d1 d1
	// engine-2 d3 d3
	// engine-5 d2 d3
}

// Two coordinators that can't reach each other never grant more slots together
// than the limit.
func ExampleShare_Limit() {
	const limit = 8
	majority := member.Share{Leases: 2, Counted: 3}
	minority := member.Share{Leases: 1, Counted: 3}
	fmt.Println(majority.Limit(limit), minority.Limit(limit))
	// Output: 6 2
}
