package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"rattanline.example/rattanline/config"
)

// ServiceOptions configures a plain service.
type ServiceOptions struct {
	TargetOptions
	// ProcessingTime is how long one request runs.
	ProcessingTime config.Duration `json:"work"`
}

// ServiceFault is the body of POST /admin/fault of the plain service. Cold and
// Crash take effect once, when the faults are set.
type ServiceFault struct {
	Fault
	LoadLag        config.Duration `json:"load-lag"`
	ProcessingTime config.Duration `json:"work"`
	// Refuse is the probability that a request is answered with 503 and Not-Run.
	Refuse float64 `json:"refuse"`
	// CrashBefore is the number of upcoming reservations that crash the service
	// before they are recorded in the ledger.
	CrashBefore int `json:"crash-before"`
	// CrashAfter is the number of upcoming reservations that crash the service after
	// they were recorded in the ledger.
	CrashAfter int  `json:"crash-after"`
	Cold       bool `json:"cold"`
	Crash      bool `json:"crash"`
}

// Service stands in for a plain service with a ledger of executions. The ledger
// survives crashes, because tests compare the responses with it.
type Service struct {
	http.Handler
	*target
	injector *injector
	lock     sync.Mutex
	fault    ServiceFault
	ledger   map[string]int
}

// NewService returns a plain service that has just started, so it is cold.
func NewService(o ServiceOptions) *Service {
	s := &Service{target: newTarget(o.TargetOptions), injector: newInjector(), ledger: map[string]int{}}
	s.fault.ProcessingTime = o.ProcessingTime
	s.fault.LoadLag = o.LoadLag
	m := http.NewServeMux()
	m.HandleFunc("POST /reservations", s.withFaults(s.reserve))
	m.HandleFunc("GET /stock", s.withFaults(s.stock))
	m.HandleFunc("GET /load", s.serveLoad)
	m.HandleFunc("GET /admin/ledger", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Ledger())
	})
	m.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
	m.HandleFunc("/admin/fault", faultHandler(s.Fault, s.SetFault))
	s.Handler = m
	return s
}

// Ledger returns the number of executions of each reservation.
func (s *Service) Ledger() map[string]int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return maps.Clone(s.ledger)
}

// Fault returns the faults in force.
func (s *Service) Fault() ServiceFault {
	s.lock.Lock()
	defer s.lock.Unlock()
	f := s.fault
	f.Fault, f.LoadLag = s.injector.get(), s.loadLag()
	return f
}

// SetFault replaces the faults.
func (s *Service) SetFault(f ServiceFault) error {
	if err := s.injector.set(f.Fault); err != nil {
		return err
	}
	s.setLoadLag(f.LoadLag)
	if f.Crash {
		s.crash()
	}
	if f.Cold {
		s.makeCold()
	}
	f.Crash, f.Cold = false, false
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fault = f
	return nil
}

// withFaults wraps a handler with fault injection, admission and the processing
// time. A caller that disconnects cancels a stock lookup. A reservation runs to
// its end, because net/http detects the disconnection only after the body is read.
func (s *Service) withFaults(f func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		if !s.injector.before(w, r) {
			return
		}
		if s.injector.sample(s.Fault().Refuse) {
			refuse(w, "refused")
			return
		}
		e := s.enter(w, r)
		if e == nil {
			return
		}
		began, completed := time.Now(), false
		defer func() { s.leave(e, began, completed) }()
		waitOrAbort(r, e, s.scaleTime(e, s.Fault().ProcessingTime.Std()))
		f(w, r)
		completed = true
	}
}

// consume reports whether the fault asks for another crash, and counts it down.
func (s *Service) consume(n *int) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// reservation is the body of POST /reservations. Other fields are ignored.
type reservation struct {
	ID string `json:"id"`
}

func (s *Service) reserve(w http.ResponseWriter, r *http.Request) {
	var q reservation
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil || q.ID == "" {
		http.Error(w, "body needs an id", http.StatusBadRequest)
		return
	}
	if s.consume(&s.fault.CrashBefore) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	s.lock.Lock()
	s.ledger[q.ID]++
	n := s.ledger[q.ID]
	s.lock.Unlock()
	if s.consume(&s.fault.CrashAfter) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	s.injector.after()
	writeJSON(w, http.StatusCreated, map[string]any{"id": q.ID, "executions": n})
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	s.injector.after()
	writeJSON(w, http.StatusOK, map[string]any{"item": r.URL.Query().Get("item"), "stock": 7})
}
