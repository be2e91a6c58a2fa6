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

// ServiceOptions describe a plain service.
type ServiceOptions struct {
	TargetOptions
	// ProcessingTime is the time of one request.
	ProcessingTime config.Duration `json:"work"`
}

// ServiceFault is the body of POST /admin/fault of the plain service. Cold and
// Crash act once.
type ServiceFault struct {
	Fault
	LoadLag        config.Duration `json:"load-lag"`
	ProcessingTime config.Duration `json:"work"`
	// Refuse is the probability of 503 with Not-Run.
	Refuse float64 `json:"refuse"`
	// CrashBefore and CrashAfter are how many of the next reservations crash the
	// service before and after they are recorded.
	CrashBefore int  `json:"crash-before"`
	CrashAfter  int  `json:"crash-after"`
	Cold        bool `json:"cold"`
	Crash       bool `json:"crash"`
}

// Service stands in for a plain service with a ledger of executions. The ledger
// survives crashes, because it is what tests compare answers with.
type Service struct {
	http.Handler
	*target
	injector *injector
	lock     sync.Mutex
	fault    ServiceFault
	ledger   map[string]int
}

// NewService returns a plain service that has just started.
func NewService(o ServiceOptions) *Service {
	s := &Service{target: newTarget(o.TargetOptions), injector: newInjector(), ledger: map[string]int{}}
	s.fault.ProcessingTime = o.ProcessingTime
	s.fault.LoadLag = o.LoadLag
	m := http.NewServeMux()
	m.HandleFunc("POST /reservations", s.run(s.reserve))
	m.HandleFunc("GET /stock", s.run(s.stock))
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

// SetFault changes the faults.
func (s *Service) SetFault(f ServiceFault) error {
	if err := s.injector.set(f.Fault); err != nil {
		return err
	}
	s.setLoadLag(f.LoadLag)
	if f.Crash {
		s.crash()
	}
	if f.Cold {
		s.cool()
	}
	f.Crash, f.Cold = false, false
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fault = f
	return nil
}

// run wraps a request with faults, admission and the time of the work. A caller
// that leaves ends a lookup; a reservation runs to its end, because net/http
// doesn't notice the caller before the body is read.
func (s *Service) run(f func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		if !s.injector.before(w, r) {
			return
		}
		if s.injector.happens(s.Fault().Refuse) {
			refuse(w, "refused")
			return
		}
		e := s.enter(w, r)
		if e == nil {
			return
		}
		began, completed := time.Now(), false
		defer func() { s.leave(e, began, completed) }()
		pause(r, e, s.pace(e, s.Fault().ProcessingTime.Std()))
		f(w, r)
		completed = true
	}
}

// take uses up one of the crashes that a fault asks for.
func (s *Service) take(n *int) bool {
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
	if s.take(&s.fault.CrashBefore) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	s.lock.Lock()
	s.ledger[q.ID]++
	n := s.ledger[q.ID]
	s.lock.Unlock()
	if s.take(&s.fault.CrashAfter) {
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
