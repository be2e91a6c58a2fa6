package submission_test

import (
	"context"
	"fmt"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/submission"
)

func ExampleStore_Submit() {
	ctx := context.Background()
	store := &submission.Store{KeyValue: newLossyKeyValue(1, 0)}
	first := config.Document{FailureDomains: []config.FailureDomain{{Name: "east", Region: "kyushu"}}}
	show := func(r submission.Request) {
		outcome, err := store.Submit(ctx, r)
		switch o := outcome.(type) {
		case submission.Accepted:
			fmt.Println("accepted as version", o.Version)
		case submission.Conflict:
			fmt.Printf("conflict with version %d:\n%s", o.Current.Version, o.Diff)
		default:
			fmt.Println("unknown", err)
		}
	}
	show(submission.Request{ID: "a", Document: first})
	show(submission.Request{ID: "a", Document: first}) // the same submit again
	show(submission.Request{ID: "b", Document: first.WithFailureDomain(config.FailureDomain{Name: "west", Region: "kyushu"})})
	// Output:
	// accepted as version 1
	// accepted as version 1
	// conflict with version 1:
	// + failure-domains/west/name: west
	// + failure-domains/west/region: kyushu
}
