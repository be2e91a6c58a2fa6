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

// resumeWindow is how long the stream of a sequence can be resumed after a cut.
const resumeWindow = 30 * time.Second

// EngineOptions configures a model engine with continuous batching: up to Capacity
// sequences decode concurrently.
type EngineOptions struct {
	TargetOptions
	// PromptTime is the time to the first token.
	PromptTime config.Duration `json:"prompt-time"`
	// TokenTime is the time between tokens of a sequence that decodes alone.
	TokenTime config.Duration `json:"token-time"`
	// BatchTime is added to TokenTime for each other sequence in the batch.
	BatchTime config.Duration `json:"batch-time"`
	// Seed and the prompt determine the content of a completion.
	Seed uint64 `json:"seed"`
	// CrashText crashes the engine if it occurs in a request's body.
	CrashText string `json:"crash-text"`
}

// EngineFault is the body of POST /admin/fault of the engine. Cold and Crash take
// effect once, when the faults are set.
type EngineFault struct {
	Fault
	LoadLag   config.Duration `json:"load-lag"`
	CrashText string          `json:"crash-text"`
	// Refuse is the probability that a request is answered with 503 and Not-Run.
	Refuse float64 `json:"refuse"`
	// CutStreams is the number of upcoming streams that are cut. They can be resumed.
	CutStreams int `json:"cut-streams"`
	// CutStreamAfter is the number of events that a cut stream sends.
	CutStreamAfter int `json:"cut-stream-after"`
	// Truncate is the probability that a stream ends cleanly after half of its
	// events, or that a response without streaming has half of its content.
	Truncate float64 `json:"truncate"`
	// Mislabel is the probability that a response carries another request's id.
	Mislabel float64 `json:"mislabel"`
	Cold     bool    `json:"cold"`
	Crash    bool    `json:"crash"`
}

// Engine stands in for a model engine that serves OpenAI chat completions.
type Engine struct {
	http.Handler
	*target
	options   EngineOptions
	injector  *injector
	lock      sync.Mutex
	fault     EngineFault
	sequences map[string]*decoding
}

// decoding is a sequence that is being decoded or can be resumed.
type decoding struct {
	*sequence
	epoch      *epoch
	ctx        context.Context
	cancel     context.CancelFunc
	lock       sync.Mutex
	ready      int           // events decoded so far
	progressed chan struct{} // closed when ready grows
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

// SetFault replaces the faults.
func (e *Engine) SetFault(f EngineFault) error {
	if err := e.injector.set(f.Fault); err != nil {
		return err
	}
	e.setLoadLag(f.LoadLag)
	if f.Crash {
		e.crash()
	}
	if f.Cold {
		e.makeCold()
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
	e.setRequestID(w, id, f)
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
	if e.injector.sample(f.Refuse) {
		refuse(w, "refused")
		return
	}
	run := e.enter(w, r)
	if run == nil {
		return
	}
	d := &decoding{sequence: newSequence(id, q, e.options.Seed), epoch: run, progressed: make(chan struct{})}
	d.ctx, d.cancel = context.WithCancel(run.ctx)
	poison := f.CrashText != "" && bytes.Contains(body, []byte(f.CrashText))
	e.register(d)
	go e.decode(d, poison)
	if q.Stream {
		e.stream(w, r, d, 0)
		return
	}
	e.respond(w, r, d, f)
}

// setRequestID sets the response's X-Request-Id, which a fault may replace by
// another id.
func (e *Engine) setRequestID(w http.ResponseWriter, id string, f EngineFault) {
	if e.injector.sample(f.Mislabel) {
		id = uuid.NewString() + "-1"
	}
	w.Header().Set("X-Request-Id", id)
}

func (e *Engine) register(d *decoding) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.sequences[d.id] = d
}

// discard cancels a sequence, whose stream can't be resumed afterwards.
func (e *Engine) discard(d *decoding) {
	d.cancel()
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.sequences[d.id] == d {
		delete(e.sequences, d.id)
	}
}

// decode produces the events of a sequence one after another, at a rate that depends
// on the size of the batch. The sequence occupies its slot until the last event,
// also while its stream is cut.
func (e *Engine) decode(d *decoding, poison bool) {
	began, completed := time.Now(), false
	// The slot is freed before the caller can receive the last event and send its
	// next request.
	defer func() {
		e.leave(d.epoch, began, completed)
		if completed {
			d.advance(d.eventCount())
		}
	}()
	timer := time.NewTimer(e.scaleTime(d.epoch, e.options.PromptTime.Std()))
	defer timer.Stop()
	for i := range d.tokens {
		if i > 0 {
			step := e.options.TokenTime.Std() + time.Duration(e.runningCount(d.epoch)-1)*e.options.BatchTime.Std()
			timer.Reset(e.scaleTime(d.epoch, step))
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
	close(d.progressed)
	d.progressed = make(chan struct{})
}

// waitForEvents waits for more than n events and returns their number. It returns
// false if the sequence ends or the caller disconnects first.
func (d *decoding) waitForEvents(r *http.Request, n int) (int, bool) {
	for {
		d.lock.Lock()
		ready, more := d.ready, d.progressed
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

func (e *Engine) respond(w http.ResponseWriter, r *http.Request, d *decoding, f EngineFault) {
	defer e.discard(d)
	if _, ok := d.waitForEvents(r, d.eventCount()-1); !ok {
		panic(http.ErrAbortHandler)
	}
	e.injector.after()
	c := d.response()
	if e.injector.sample(f.Truncate) {
		m := c.Choices[0].Message
		m.Content = m.Content[:len(m.Content)/2]
	}
	writeJSON(w, http.StatusOK, c)
}

// cutAfter returns the number of events after which a stream that begins or resumes
// now is cut, zero for no cut, and counts the cut against CutStreams.
func (e *Engine) cutAfter() int {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.fault.CutStreams <= 0 {
		return 0
	}
	e.fault.CutStreams--
	return max(e.fault.CutStreamAfter, 1)
}

// stream sends the events after last, the id of the last event that the caller
// has received. The sequence is canceled if the caller disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, d *decoding, last int) {
	cut, total := e.cutAfter(), d.eventCount()
	if e.injector.sample(e.Fault().Truncate) {
		total /= 2
	}
	resumable := false
	defer func() {
		if !resumable {
			e.discard(d)
		}
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	sent := 0
	for last < total {
		ready, ok := d.waitForEvents(r, last)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		var b strings.Builder
		for last < min(ready, total) && (cut == 0 || sent < cut) {
			last++
			sent++
			b.WriteString(d.event(last))
		}
		if _, err := io.WriteString(w, b.String()); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(w).Flush()
		if cut > 0 && sent >= cut {
			resumable = true
			time.AfterFunc(resumeWindow, func() { e.discard(d) })
			panic(http.ErrAbortHandler)
		}
	}
}

// resume continues a cut stream after the event given by Last-Event-ID.
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
	closed := e.current.unreachable(r, time.Now())
	e.target.mu.Unlock()
	if closed {
		panic(http.ErrAbortHandler)
	}
	e.setRequestID(w, id, e.Fault())
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	switch {
	case gone:
		http.Error(w, "unknown sequence", http.StatusNotFound)
	case err != nil || last < 0 || last > d.eventCount():
		http.Error(w, "Last-Event-ID is not an event of this sequence", http.StatusBadRequest)
	default:
		e.stream(w, r, d, last)
	}
}
