package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/request"
)

// arrivals records when each reservation arrives at a target, before the target
// handles it.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/reservations" {
			body, err := io.ReadAll(r.Body)
			var q struct {
				ID string `json:"id"`
			}
			if err != nil || json.Unmarshal(body, &q) != nil {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			a.mu.Lock()
			a.at[q.ID] = append(a.at[q.ID], time.Now())
			a.mu.Unlock()
		}
		h.ServeHTTP(w, r)
	})
}

// arrivedBefore reports whether the reservation first arrived at a target before
// the time.
func (a *arrivals) arrivedBefore(id string, t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.at[id]) > 0 && a.at[id][0].Before(t)
}

// booking is one reservation with the replies to all its attempts.
type booking struct {
	id string
	// onlyNotRun is set while all replies had the outcome not-run.
	onlyNotRun        bool
	ran, unknown      bool
	falseNotRun, sent int
	notRunReplies     int
	trace             string
}

// record adds a reply to the booking; next is the start time of the following
// attempt. A not-run reply is false if the reservation had arrived at a target by
// then and all earlier replies were not-run too.
func (b *booking) record(a *arrivals, r reply, next time.Time) {
	switch {
	case r.notRun():
		b.notRunReplies++
		if b.onlyNotRun && a.arrivedBefore(b.id, next) {
			b.falseNotRun++
			b.trace += fmt.Sprintf(" %+v", r)
		}
		return
	case r.err == nil && r.outcome == request.OutcomeRan:
		b.ran = true
	default:
		b.unknown = true
	}
	b.onlyNotRun = false
}

const (
	attemptTimeout     = 6 * time.Second
	maxAttempts        = 6
	reservationCallers = 24
)

// book sends the reservation to random entries until it is known to have run, at
// most maxAttempts times. Some attempts are sent twice concurrently, and some
// reservations are sent again after they ran.
func (b *booking) book(x *caller, a *arrivals, random *rand.Rand) {
	b.onlyNotRun = true
	for range maxAttempts {
		twice := random.IntN(10) == 0
		entries := [2]string{x.randomEntry(random), x.randomEntry(random)}
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		var other reply
		var wait sync.WaitGroup
		if twice {
			wait.Go(func() { other = x.send(ctx, entries[1], reservation(b.id)) })
		}
		r := x.send(ctx, entries[0], reservation(b.id))
		wait.Wait()
		cancel()
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		b.sent++
		if twice && !(r.notRun() && other.notRun()) {
			// An arrival at the target can't be attributed to one of the two
			// requests, so it does not show that a not-run reply was false.
			b.onlyNotRun = false
		}
		b.record(a, r, time.Now())
		if twice {
			b.record(a, other, time.Now())
		}
		if b.ran && random.IntN(3) > 0 {
			return
		}
	}
}

// randomEntry returns the URL of a random daemon.
func (x *caller) randomEntry(r *rand.Rand) string {
	return x.fleet.daemons[r.IntN(len(x.fleet.daemons))].url()
}

// TestReservations guards against reservations that run twice, that are refused
// as not-run although they were sent to a target, or that are confirmed without
// having run. Random faults act on the fleet while callers send and resend the
// reservations to several daemons.
func TestReservations(t *testing.T) {
	t.Parallel()
	count := orShort(500, 100)
	if *reservations > 0 {
		count = *reservations
	}
	for i := range uint64(orShort(3, 1)) {
		t.Run(fmt.Sprint("seed ", *seed+i), func(t *testing.T) {
			t.Parallel()
			testReservations(t, *seed+i, count)
		})
	}
}

func testReservations(t *testing.T, seed uint64, count int) {
	a := &arrivals{at: map[string][]time.Time{}}
	f := startFleet(t, options{
		domains: 3, daemons: 2, services: 1, service: smallService(8, 2), relays: true, wrap: a.wrap,
		document: func(d config.Document) config.Document {
			s, _ := d.Service(stockDesk)
			s.Timeout = config.Duration(attemptTimeout)
			return d.WithService(s)
		},
	})
	bookings := make([]*booking, count)
	work := make(chan *booking)
	var callers sync.WaitGroup
	for w := range reservationCallers {
		random := rand.New(rand.NewPCG(seed, 100+uint64(w)))
		x := f.caller(w)
		callers.Go(func() {
			for b := range work {
				b.book(x, a, random)
			}
		})
	}
	x := f.startFaults(seed)
	began := time.Now()
	for i := range bookings {
		bookings[i] = &booking{id: fmt.Sprintf("reservation-%d-%d", seed, i)}
		work <- bookings[i]
	}
	close(work)
	callers.Wait()
	took := time.Since(began)
	x.end()
	f.assertBookings(fmt.Sprint("reservations-", seed), bookings, took)
}

// assertBookings compares the replies with the executions that the targets
// recorded.
func (f *fleet) assertBookings(name string, bookings []*booking, took time.Duration) {
	c := f.c
	executed := map[string]int{}
	for _, s := range f.services {
		for id, n := range s.Ledger() {
			executed[id] += n
		}
	}
	var twice, falseNotRun, confirmedNotRun, ran, unknown, refused, sent, notRun int
	for _, b := range bookings {
		n := executed[b.id]
		sent += b.sent
		notRun += b.notRunReplies
		if falseNotRun += b.falseNotRun; b.falseNotRun > 0 {
			c.Logf("%s was sent and refused:%s", b.id, b.trace)
		}
		switch {
		case n > 1:
			twice++
			c.Logf("%s ran %d times", b.id, n)
		case b.onlyNotRun && n > 0:
			falseNotRun++
			c.Logf("%s was refused and ran", b.id)
		case b.ran && n == 0:
			confirmedNotRun++
			c.Logf("%s was confirmed and has not run", b.id)
		}
		switch {
		case b.ran:
			ran++
		case b.onlyNotRun:
			refused++
		default:
			unknown++
		}
	}
	c.Logf("%d reservations, %d attempts in %s: %d ran, %d not run, %d unknown; %d twice, %d of %d not-run replies false, %d confirmed and lost",
		len(bookings), sent, took.Round(time.Millisecond), ran, refused, unknown, twice, falseNotRun, notRun, confirmedNotRun)
	c.Check(twice, qt.Equals, 0)
	c.Check(falseNotRun, qt.Equals, 0)
	c.Check(confirmedNotRun, qt.Equals, 0)
	c.Check(ran > len(bookings)/2, qt.IsTrue)
	writeCSV(c, name, [][]string{
		{"reservations", "attempts", "ran", "not-run", "unknown", "not-run-replies", "twice", "false-not-run", "lost"},
		{
			fmt.Sprint(len(bookings)), fmt.Sprint(sent), fmt.Sprint(ran), fmt.Sprint(refused), fmt.Sprint(unknown),
			fmt.Sprint(notRun), fmt.Sprint(twice), fmt.Sprint(falseNotRun), fmt.Sprint(confirmedNotRun),
		},
	})
}
