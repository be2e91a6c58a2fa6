package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"rattanline.example/rattanline/config"
)

// resumeTime is how long a sequence whose stream was cut can be resumed.
const resumeTime = 30 * time.Second

// EngineOptions describe a model engine with continuous batching: Capacity
// sequences decode together.
type EngineOptions struct {
	TargetOptions
	// PromptTime is the time to the first token.
	PromptTime config.Duration `json:"prompt-time"`
	// TokenTime is the time between tokens of a sequence that decodes alone;
	// BatchTime is added for each other sequence.
	TokenTime config.Duration `json:"token-time"`
	BatchTime config.Duration `json:"batch-time"`
	Seed      uint64          `json:"seed"`
	// CrashText in a request's body crashes the engine.
	CrashText string `json:"crash-text"`
}

// EngineFault is the body of POST /admin/fault of the engine. Cold and Crash act
// once.
type EngineFault struct {
	Fault
	LoadLag   config.Duration `json:"load-lag"`
	CrashText string          `json:"crash-text"`
	// Refuse is the probability of 503 with Not-Run.
	Refuse float64 `json:"refuse"`
	// CutStreams is how many of the next streams are cut after CutStreamAfter
	// events. They can be resumed.
	CutStreams     int `json:"cut-streams"`
	CutStreamAfter int `json:"cut-stream-after"`
	// Truncate is the probability that a stream ends cleanly at half of its
	// events, or a whole response with half of its content.
	Truncate float64 `json:"truncate"`
	// Mislabel is the probability of the id of another request in the response.
	Mislabel float64 `json:"mislabel"`
	Cold     bool    `json:"cold"`
	Crash    bool    `json:"crash"`
}

// Engine stands in for a model engine with OpenAI chat completions.
type Engine struct {
	http.Handler
	*target
	options   EngineOptions
	injector  *injector
	lock      sync.Mutex
	fault     EngineFault
	sequences map[string]*decoding
}

// decoding is the progress of a sequence.
type decoding struct {
	*sequence
	epoch  *epoch
	ctx    context.Context
	cancel context.CancelFunc
	lock   sync.Mutex
	ready  int // events decoded so far
	more   chan struct{}
}

// NewEngine returns an engine that has just started, so it is cold.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{
		target: newTarget(o.TargetOptions), options: o, injector: newInjector(),
		sequences: map[string]*decoding{},
	}
	e.fault = EngineFault{CrashText: o.CrashText, LoadLag: o.LoadLag}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.complete)
	m.HandleFunc("GET /v1/chat/completions/{id}", e.resume)
	m.HandleFunc("GET /load", e.serveLoad)
	m.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	m.HandleFunc("/admin/fault", faultHandler(e.Fault, e.SetFault))
	e.Handler = m
	return e
}

// Fault returns the faults in force.
func (e *Engine) Fault() EngineFault {
	e.lock.Lock()
	defer e.lock.Unlock()
	f := e.fault
	f.Fault, f.LoadLag = e.injector.get(), e.loadLag()
	return f
}

// SetFault changes the faults.
func (e *Engine) SetFault(f EngineFault) error {
	if err := e.injector.set(f.Fault); err != nil {
		return err
	}
	e.setLoadLag(f.LoadLag)
	if f.Crash {
		e.crash()
	}
	if f.Cold {
		e.cool()
	}
	f.Crash, f.Cold = false, false
	e.lock.Lock()
	defer e.lock.Unlock()
	e.fault = f
	return nil
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	f := e.Fault()
	e.label(w, id, f)
	if !e.injector.before(w, r) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var q completionRequest
	if err := json.Unmarshal(body, &q); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{
			"error": map[string]string{"message": err.Error(), "type": "invalid_request_error"},
		})
		return
	}
	if e.injector.happens(f.Refuse) {
		refuse(w, "refused")
		return
	}
	run := e.enter(w, r)
	if run == nil {
		return
	}
	d := &decoding{sequence: newSequence(id, q, e.options.Seed), epoch: run, more: make(chan struct{})}
	d.ctx, d.cancel = context.WithCancel(run.ctx)
	poison := f.CrashText != "" && bytes.Contains(body, []byte(f.CrashText))
	e.keep(d)
	go e.decode(d, poison)
	if q.Stream {
		e.stream(w, r, d, 0)
		return
	}
	e.answer(w, r, d, f)
}

func (e *Engine) label(w http.ResponseWriter, id string, f EngineFault) {
	if e.injector.happens(f.Mislabel) {
		id = uuid.NewString() + "-1"
	}
	w.Header().Set("X-Request-Id", id)
}

func (e *Engine) keep(d *decoding) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.sequences[d.id] = d
}

// forget ends a sequence: nothing of it can be resumed.
func (e *Engine) forget(d *decoding) {
	d.cancel()
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.sequences[d.id] == d {
		delete(e.sequences, d.id)
	}
}

// decode makes the events of a sequence, one after another, at the pace of the
// batch. The sequence keeps its place until the last one, also while its stream
// is cut.
func (e *Engine) decode(d *decoding, poison bool) {
	began, completed := time.Now(), false
	// The place is free before the caller can see the end and send the next.
	defer func() {
		e.leave(d.epoch, began, completed)
		if completed {
			d.advance(d.events())
		}
	}()
	timer := time.NewTimer(e.pace(d.epoch, e.options.PromptTime.Std()))
	defer timer.Stop()
	for i := range d.tokens {
		if i > 0 {
			step := e.options.TokenTime.Std() + time.Duration(e.batch(d.epoch)-1)*e.options.BatchTime.Std()
			timer.Reset(e.pace(d.epoch, step))
		}
		select {
		case <-timer.C:
		case <-d.ctx.Done():
			return
		}
		if poison {
			e.crash()
			return
		}
		if i+1 < len(d.tokens) {
			d.advance(i + 1)
		}
	}
	completed = true
}

func (d *decoding) advance(ready int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.ready = ready
	close(d.more)
	d.more = make(chan struct{})
}

// wait returns the number of events once there are more than n. It returns false
// if the sequence ended before.
func (d *decoding) wait(r *http.Request, n int) (int, bool) {
	for {
		d.lock.Lock()
		ready, more := d.ready, d.more
		d.lock.Unlock()
		if ready > n {
			return ready, true
		}
		select {
		case <-more:
		case <-d.ctx.Done():
			return 0, false
		case <-r.Context().Done():
			return 0, false
		}
	}
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, d *decoding, f EngineFault) {
	defer e.forget(d)
	if _, ok := d.wait(r, d.events()-1); !ok {
		panic(http.ErrAbortHandler)
	}
	e.injector.after()
	c := d.whole()
	if e.injector.happens(f.Truncate) {
		m := c.Choices[0].Message
		m.Content = m.Content[:len(m.Content)/2]
	}
	writeJSON(w, http.StatusOK, c)
}

// cutAfter returns after how many events the next stream is cut, zero if never.
func (e *Engine) cutAfter() int {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.fault.CutStreams <= 0 {
		return 0
	}
	e.fault.CutStreams--
	return max(e.fault.CutStreamAfter, 1)
}

// stream sends the events after the last one that the caller has. A caller that
// leaves cancels the sequence.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, d *decoding, last int) {
	cut, most := e.cutAfter(), d.events()
	if e.injector.happens(e.Fault().Truncate) {
		most /= 2
	}
	keep := false
	defer func() {
		if !keep {
			e.forget(d)
		}
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	sent := 0
	for last < most {
		ready, ok := d.wait(r, last)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		var b strings.Builder
		for last < min(ready, most) && (cut == 0 || sent < cut) {
			last++
			sent++
			b.WriteString(d.event(last))
		}
		if _, err := io.WriteString(w, b.String()); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(w).Flush()
		if cut > 0 && sent >= cut {
			keep = true
			time.AfterFunc(resumeTime, func() { e.forget(d) })
			panic(http.ErrAbortHandler)
		}
	}
}

// resume continues a stream that was cut after the event that the caller names.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !e.injector.before(w, r) {
		return
	}
	e.lock.Lock()
	d := e.sequences[id]
	e.lock.Unlock()
	e.target.mu.Lock()
	w.Header().Set("Target-Incarnation", e.current.incarnation)
	gone := d == nil || d.epoch != e.current
	closed := e.current.closed(r, time.Now())
	e.target.mu.Unlock()
	if closed {
		panic(http.ErrAbortHandler)
	}
	e.label(w, id, e.Fault())
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	switch {
	case gone:
		http.Error(w, "unknown sequence", http.StatusNotFound)
	case err != nil || last < 0 || last > d.events():
		http.Error(w, "Last-Event-ID is not an event of this sequence", http.StatusBadRequest)
	default:
		e.stream(w, r, d, last)
	}
}
