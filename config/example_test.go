package config_test

import (
	"fmt"

	"rattanline.example/rattanline/config"
)

func ExampleParse() {
	_, err := config.Parse([]byte(`accounts:
  - name: shop-counter
    share: 0
    services: [assistant]
`))
	fmt.Println(err)
	// Output:
	// line 3: accounts[0].share: 0 is not a finite number above 0
	// line 4: accounts[0].services[0]: service "assistant" does not exist
}

func ExampleDiff() {
	before := config.Document{FailureDomains: []config.FailureDomain{{Name: "east", Region: "kyushu"}}}
	after := before.WithDrained("east", true).WithAccount(config.Account{Name: "drafts", Share: 1})
	fmt.Print(config.Diff(before, after))
	// Output:
	// + accounts/drafts/name: drafts
	// + accounts/drafts/share: 1
	// + failure-domains/east/drained: true
}
