package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rattanline.example/rattanline/config"
)

// The kinds of outage.
const (
	OutageRefuse = "refuse" // every call is answered with 503
	OutageClose  = "close"  // the connection of every call is closed without a response
)

// maxBody is the maximum size of a request body in bytes. It allows for values of
// the key-value service, which have up to a megabyte before their base64 encoding.
const maxBody = 16 << 20

// Fault holds the faults that all stand-ins support. It is part of the body of POST
// /admin/fault, in which omitted fields keep their values. The faults don't apply to
// load reports and to paths under /admin.
type Fault struct {
	Outage string `json:"outage"`
	// Delay is added to each call.
	Delay config.Duration `json:"delay"`
	// Jitter is the upper bound of a random time that is added to Delay.
	Jitter config.Duration `json:"jitter"`
	// LoseRequest is the probability that the connection is closed before the
	// call runs.
	LoseRequest float64 `json:"lose-request"`
	// LoseResponse is the probability that the connection is closed after the
	// call took effect. It applies to completions without streaming, calls of the
	// plain service, transactions of the metadata store, and calls of the key-value
	// service other than watches.
	LoseResponse float64 `json:"lose-response"`
	// Seed reseeds the random number generator when it changes.
	Seed uint64 `json:"seed"`
}

func (f Fault) validate() error {
	switch f.Outage {
	case "", OutageRefuse, OutageClose:
		return nil
	}
	return fmt.Errorf("outage %q is neither %q nor %q", f.Outage, OutageRefuse, OutageClose)
}

// injector injects the faults of a Fault into calls.
type injector struct {
	mu     sync.Mutex
	fault  Fault
	random *rand.Rand
}

func newInjector() *injector {
	return &injector{random: rand.New(rand.NewPCG(0, 0))}
}

func (i *injector) get() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

func (i *injector) set(f Fault) error {
	if err := f.validate(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Seed != i.fault.Seed {
		i.random = rand.New(rand.NewPCG(f.Seed, 0))
	}
	i.fault = f
	return nil
}

// sample returns true with the given probability.
func (i *injector) sample(probability float64) bool {
	if probability <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.random.Float64() < probability
}

// before delays the call and returns false if it has answered the call with 503.
// It panics with http.ErrAbortHandler, which closes the connection, if the outage
// is OutageClose, the request is to be lost, or the caller disconnects during the
// delay.
func (i *injector) before(w http.ResponseWriter, r *http.Request) bool {
	f := i.get()
	d := f.Delay.Std()
	if f.Jitter > 0 {
		i.mu.Lock()
		d += time.Duration(i.random.Int64N(int64(f.Jitter)))
		i.mu.Unlock()
	}
	if d > 0 {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	// The outage may have begun during the delay.
	f = i.get()
	switch {
	case f.Outage == OutageClose, i.sample(f.LoseRequest):
		panic(http.ErrAbortHandler)
	case f.Outage == OutageRefuse:
		http.Error(w, `{"error":"outage","code":14,"message":"outage"}`, http.StatusServiceUnavailable)
		return false
	}
	return true
}

// after closes the connection of a call whose response is to be lost.
func (i *injector) after() {
	if i.sample(i.get().LoseResponse) {
		panic(http.ErrAbortHandler)
	}
}

// faultHandler answers GET with the faults in force and changes them on POST.
func faultHandler[T any](get func() T, set func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := get()
		if r.Method == http.MethodPost {
			if !readJSON(w, r, &f) {
				return
			}
			if err := set(f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			f = get()
		}
		writeJSON(w, http.StatusOK, f)
	}
}

// readJSON decodes a body and reports whether it succeeded. Unknown fields are
// errors, so that a misspelt fault isn't ignored.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("read body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
