package declaration_test

import (
	"fmt"
	"os"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/declaration"
)

func Example() {
	var f declaration.Fleet
	assistant := f.Model("assistant", config.Price{InputToken: 0.1, OutputToken: 1}, declaration.Resumable())
	stock := f.Plain("stock", 5, declaration.Timeout(10*time.Second), declaration.TrustNotRun(503))
	f.Account("shops", 4,
		declaration.Uses(assistant, stock),
		declaration.KeyDigests("6ab9f1cc5e4b0a6d4f7f6f0b0d1f4c0fa4b8e7c2d3a19586e0f1a2b3c4d5e6f7"),
		declaration.Queue(512, 32<<20))
	for _, name := range []string{"a", "b"} {
		domain := f.FailureDomain("kyushu-"+name, "kyushu")
		f.Target("stock-"+name, stock, domain, "http://stock-"+name+":8000",
			declaration.Limits{Cold: 1, Max: 16}, declaration.Host("server-"+name))
	}
	if err := f.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// accounts:
	//   - name: shops
	//     share: 4.0
	//     services:
	//       - assistant
	//       - stock
	//     key-digests:
	//       - 6ab9f1cc5e4b0a6d4f7f6f0b0d1f4c0fa4b8e7c2d3a19586e0f1a2b3c4d5e6f7
	//     max-queued: 512
	//     max-queued-bytes: 33554432
	// services:
	//   - name: assistant
	//     kind: model
	//     price:
	//       input-token: 0.1
	//       output-token: 1.0
	//     resume: true
	//   - name: stock
	//     kind: plain
	//     price:
	//       request: 5.0
	//     timeout: 10s
	//     not-run-statuses:
	//       - 503
	// failure-domains:
	//   - name: kyushu-a
	//     region: kyushu
	//   - name: kyushu-b
	//     region: kyushu
	// targets:
	//   - name: stock-a
	//     service: stock
	//     failure-domain: kyushu-a
	//     url: http://stock-a:8000
	//     host: server-a
	//     cold-limit: 1
	//     max-limit: 16
	//   - name: stock-b
	//     service: stock
	//     failure-domain: kyushu-b
	//     url: http://stock-b:8000
	//     host: server-b
	//     cold-limit: 1
	//     max-limit: 16
}

func ExampleFleet_Document() {
	var f declaration.Fleet
	bookings := f.Plain("bookings", 1, declaration.Idempotent())
	domain := f.FailureDomain("cukurova-1", "cukurova", declaration.Drained())
	f.Target("desk-1", bookings, domain, "http://10.0.0.7:8000", declaration.Limits{Cold: 8, Max: 4},
		declaration.Leaving(), declaration.ChecksFencing())
	_, err := f.Document()
	fmt.Println(err)
	// Output:
	// declaration: targets[0].cold-limit: 8 is above the max-limit of 4
}
