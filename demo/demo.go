// Package demo runs an embedded fleet under load and prints the service that
// each client account received.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/fleet"
	"rattanline.example/rattanline/standin"
)

// Demo is one demonstration. Its fields must be set before Run.
type Demo struct {
	// Out receives the table and the progress messages.
	Out io.Writer
	// Duration is how long the accounts are kept backlogged; zero means 5 s.
	Duration time.Duration
	Logger   zerolog.Logger
}

// startTimeout is how long the fleet may take to become ready.
const startTimeout = 20 * time.Second

// requestsPerAccount is the number of requests that each account keeps
// outstanding. It is well above the largest share, about 14 of the 24 slots, so that
// all accounts stay backlogged.
const requestsPerAccount = 24

// accountResult counts what one account received.
type accountResult struct {
	account   string
	share     float64
	daemon    int // index of the daemon that receives the account's requests
	completed atomic.Int64
	tokens    atomic.Int64
	refused   atomic.Int64 // responses other than a complete completion with status 200
}

// Run starts the fleet, keeps all accounts backlogged for Duration and prints a
// table of the service that each account received.
func (d *Demo) Run(ctx context.Context) error {
	if d.Duration == 0 {
		d.Duration = 5 * time.Second
	}
	results := []*accountResult{
		{account: "kurume-shop", share: 1, daemon: 0},
		{account: "okawa-shop", share: 2, daemon: 1},
		{account: "yame-shop", share: 4, daemon: 2},
	}
	f := newFleet(results, d.Logger)
	defer f.Close()
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Start(start); err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	if err := f.AwaitReady(start); err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	fmt.Fprintf(d.Out, "%d failure domains, %d daemons, %d engines, %d plain services; all accounts send to one daemon each for %s\n\n",
		len(f.Domains), len(f.Members), len(f.EnginesByName), len(f.ServicesByName), d.Duration)
	if err := d.reserve(ctx, f, results); err != nil {
		return err
	}
	d.sendLoad(ctx, f, results)
	return d.printTable(results)
}

func newFleet(results []*accountResult, logger zerolog.Logger) *fleet.Fleet {
	f := &fleet.Fleet{
		Domains: []string{"kurume", "okawa", "yame"}, Daemons: 1, Logger: logger,
		Engines: []standin.EngineOptions{{
			TargetOptions: standin.TargetOptions{Capacity: 8, ColdLimit: 2, WarmUp: config.Duration(500 * time.Millisecond)},
			PromptTime:    config.Duration(5 * time.Millisecond),
			TokenTime:     config.Duration(2 * time.Millisecond),
		}},
		Services: []standin.ServiceOptions{{TargetOptions: standin.TargetOptions{Capacity: 8, ColdLimit: 2}}},
	}
	for _, a := range results {
		f.Accounts = append(f.Accounts, config.Account{
			Name: a.account, Share: a.share, Services: []string{fleet.Assistant, fleet.StockDesk},
			KeyDigests: []string{fleet.KeyDigest(a.account)},
		})
	}
	return f
}

// reserve sends one reservation per account, each twice with the same
// idempotency key, to show that the repetition is answered without a second
// execution.
func (d *Demo) reserve(ctx context.Context, f *fleet.Fleet, results []*accountResult) error {
	for _, a := range results {
		for range 2 {
			body := fmt.Sprintf(`{"id":"bundle-for-%s"}`, a.account)
			r, err := newRequest(ctx, f.Members[a.daemon].EntryURL()+"/services/"+fleet.StockDesk+"/reservations", a.account, body)
			if err != nil {
				return err
			}
			r.Header.Set("Idempotency-Key", "reservation-1")
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				return fmt.Errorf("reserve: %w", err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode/100 != 2 {
				return fmt.Errorf("reserve for %s: status %s", a.account, response.Status)
			}
		}
	}
	runs := 0
	for _, s := range f.ServicesByName {
		for _, n := range s.Ledger() {
			runs += n
		}
	}
	fmt.Fprintf(d.Out, "%d reservations, each sent twice: the stock desk ran %d\n\n", len(results), runs)
	return nil
}

func newRequest(ctx context.Context, url, account, body string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+fleet.Key(account))
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// sendLoad keeps all accounts backlogged for the duration.
func (d *Demo) sendLoad(ctx context.Context, f *fleet.Fleet, results []*accountResult) {
	ctx, cancel := context.WithTimeout(ctx, d.Duration)
	defer cancel()
	var workers sync.WaitGroup
	for _, a := range results {
		url := f.Members[a.daemon].EntryURL() + "/v1/chat/completions"
		for range requestsPerAccount {
			workers.Go(func() {
				for ctx.Err() == nil {
					sendCompletion(ctx, url, a)
				}
			})
		}
	}
	workers.Wait()
}

// refusalDelay is how long a caller waits after a refusal before its next request.
const refusalDelay = 50 * time.Millisecond

func sendCompletion(ctx context.Context, url string, a *accountResult) {
	r, err := newRequest(ctx, url, a.account,
		`{"model":"`+fleet.Assistant+`","max_tokens":20,"messages":[{"role":"user","content":"draft a bundle"}]}`)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var completion struct {
		Usage struct {
			Tokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	err = json.NewDecoder(response.Body).Decode(&completion)
	if err != nil || response.StatusCode != http.StatusOK {
		if ctx.Err() == nil {
			a.refused.Add(1)
			time.Sleep(refusalDelay)
		}
		return
	}
	a.completed.Add(1)
	a.tokens.Add(completion.Usage.Tokens)
}

// printTable prints one row per account.
func (d *Demo) printTable(results []*accountResult) error {
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "account\tshare\trequests\ttokens\ttokens per share\trefused\t")
	for _, a := range results {
		fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%.0f\t%d\t\n", a.account, a.share, a.completed.Load(), a.tokens.Load(),
			float64(a.tokens.Load())/a.share, a.refused.Load())
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
