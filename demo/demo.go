// Package demo shows an embedded fleet under load and prints what each client
// account received.
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

// Demo is one demonstration. The exported fields are set before Run.
type Demo struct {
	Out io.Writer
	// Duration is how long the accounts are kept backlogged; zero means 5 s.
	Duration time.Duration
	Logger   zerolog.Logger
}

// startTimeout bounds the start of the fleet.
const startTimeout = 20 * time.Second

// concurrency is the number of requests each account keeps outstanding, far
// more than its share of the slots, so that all accounts are backlogged.
const concurrency = 24

// tally counts what one account received.
type tally struct {
	account   string
	share     float64
	entry     int // where the account sends its requests
	completed atomic.Int64
	tokens    atomic.Int64
	refused   atomic.Int64
}

// Run starts the fleet, sends requests and prints the table.
func (d *Demo) Run(ctx context.Context) error {
	if d.Duration == 0 {
		d.Duration = 5 * time.Second
	}
	tallies := []*tally{
		{account: "kurume-shop", share: 1, entry: 0},
		{account: "okawa-shop", share: 2, entry: 1},
		{account: "yame-shop", share: 4, entry: 2},
	}
	f := newFleet(tallies, d.Logger)
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
	if err := d.reserve(ctx, f, tallies); err != nil {
		return err
	}
	d.load(ctx, f, tallies)
	return d.print(tallies)
}

func newFleet(tallies []*tally, logger zerolog.Logger) *fleet.Fleet {
	f := &fleet.Fleet{
		Domains: []string{"kurume", "okawa", "yame"}, Daemons: 1, Logger: logger,
		Engines: []standin.EngineOptions{{
			TargetOptions: standin.TargetOptions{Capacity: 8, ColdLimit: 2, WarmUp: config.Duration(500 * time.Millisecond)},
			PromptTime:    config.Duration(5 * time.Millisecond),
			TokenTime:     config.Duration(2 * time.Millisecond),
		}},
		Services: []standin.ServiceOptions{{TargetOptions: standin.TargetOptions{Capacity: 8, ColdLimit: 2}}},
	}
	for _, t := range tallies {
		f.Accounts = append(f.Accounts, config.Account{
			Name: t.account, Share: t.share, Services: []string{fleet.Assistant, fleet.StockDesk},
			KeyDigests: []string{fleet.KeyDigest(t.account)},
		})
	}
	return f
}

// reserve makes one reservation per account and sends each twice, to show that
// the second one is answered without running again.
func (d *Demo) reserve(ctx context.Context, f *fleet.Fleet, tallies []*tally) error {
	for _, t := range tallies {
		for range 2 {
			body := fmt.Sprintf(`{"id":"bundle-for-%s"}`, t.account)
			r, err := newRequest(ctx, f.Members[t.entry].EntryURL()+"/services/"+fleet.StockDesk+"/reservations", t.account, body)
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
				return fmt.Errorf("reserve for %s: status %s", t.account, response.Status)
			}
		}
	}
	runs := 0
	for _, s := range f.ServicesByName {
		for _, n := range s.Ledger() {
			runs += n
		}
	}
	fmt.Fprintf(d.Out, "%d reservations, each sent twice: the stock desk ran %d\n\n", len(tallies), runs)
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

// load keeps all accounts backlogged for the duration.
func (d *Demo) load(ctx context.Context, f *fleet.Fleet, tallies []*tally) {
	ctx, cancel := context.WithTimeout(ctx, d.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for _, t := range tallies {
		url := f.Members[t.entry].EntryURL() + "/v1/chat/completions"
		for range concurrency {
			wait.Go(func() {
				for ctx.Err() == nil {
					complete(ctx, url, t)
				}
			})
		}
	}
	wait.Wait()
}

// refusedPause keeps a refused caller from sending again at once.
const refusedPause = 50 * time.Millisecond

func complete(ctx context.Context, url string, t *tally) {
	r, err := newRequest(ctx, url, t.account,
		`{"model":"`+fleet.Assistant+`","max_tokens":20,"messages":[{"role":"user","content":"draft a bundle"}]}`)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var answer struct {
		Usage struct {
			Tokens int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	if err != nil || response.StatusCode != http.StatusOK {
		if ctx.Err() == nil {
			t.refused.Add(1)
			time.Sleep(refusedPause)
		}
		return
	}
	t.completed.Add(1)
	t.tokens.Add(answer.Usage.Tokens)
}

// print writes the table of service per account.
func (d *Demo) print(tallies []*tally) error {
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "account\tshare\trequests\ttokens\ttokens per share\trefused\t")
	for _, t := range tallies {
		fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%.0f\t%d\t\n", t.account, t.share, t.completed.Load(), t.tokens.Load(),
			float64(t.tokens.Load())/t.share, t.refused.Load())
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
