package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
)

// changeTimeout bounds the submission of a change, and the wait for a configuration
// version that a request requires. If it expires after a write that may have been
// stored, the outcome is reported as unknown. It is shorter than the time after which
// an operator's command gives up, by default 30 s.
const changeTimeout = 10 * time.Second

// Server handles the requests of operators over HTTP.
type Server struct {
	Fleet Fleet
	Log   zerolog.Logger
}

// Handler returns the handler of all endpoints. The listener that it is used with
// must require client certificates unless its address is on loopback.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/configuration", s.configuration)
	mux.HandleFunc("POST /v1/configuration", s.submit)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/events", s.events)
	mux.HandleFunc("POST /v1/failure-domains/{name}/drain", s.setDrained(true))
	mux.HandleFunc("POST /v1/failure-domains/{name}/restore", s.setDrained(false))
	// On a listener without client certificates, a web page opened in a browser on
	// the same host could otherwise submit changes.
	return http.NewCrossOriginProtection().Handler(mux)
}

func (s *Server) configuration(w http.ResponseWriter, r *http.Request) {
	if err := s.refresh(r); err != nil {
		writeProblem(w, err)
		return
	}
	d := s.Fleet.Configuration()
	data, err := d.Marshal()
	if err != nil {
		writeProblem(w, err)
		return
	}
	w.Header().Set("Content-Type", typeYAML)
	w.Header().Set(headerVersion, strconv.FormatUint(d.Version, 10))
	_, _ = w.Write(data) // the operator may have disconnected
}

// refresh waits until this daemon has the configuration version that the request
// requires because the operator has seen it before.
func (s *Server) refresh(r *http.Request) error {
	seen, err := versionParameter(r, headerVersion, "version", "0")
	if err != nil {
		return err
	}
	if seen <= s.Fleet.Configuration().Version {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	if err := s.Fleet.Refresh(ctx, seen); err != nil {
		return newProblem(http.StatusServiceUnavailable, fmt.Errorf("fetch version %d: %w", seen, err))
	}
	return nil
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	request, err := readRequest(r)
	if err == nil {
		request.Base, err = versionParameter(r, headerBase, "base", "")
	}
	if err == nil {
		request.Document, err = readDocument(w, r)
	}
	if err != nil {
		writeProblem(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	outcome, err := s.Fleet.Submit(ctx, request)
	s.respond(w, r, "submit", request, outcome, err)
}

// readRequest reads the parameters that all changes have in common. It generates an
// id if the request has none.
func readRequest(r *http.Request) (submission.Request, error) {
	request := submission.Request{ID: parameter(r, headerSubmitID, "id"), Author: author(r)}
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	if len(request.ID) > 128 {
		return request, newProblem(http.StatusBadRequest, errors.New("the submit id is longer than 128 bytes"))
	}
	if t := parameter(r, headerResubmitted, "resubmitted"); t != "" {
		var err error
		if request.Resubmitted, err = strconv.ParseBool(t); err != nil {
			return request, newProblem(http.StatusBadRequest, fmt.Errorf("resubmitted: %q is neither true nor false", t))
		}
	}
	return request, nil
}

func readDocument(w http.ResponseWriter, r *http.Request) (config.Document, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxTextBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return config.Document{}, newProblem(http.StatusRequestEntityTooLarge, err)
	}
	if err != nil {
		return config.Document{}, newProblem(http.StatusBadRequest, err)
	}
	d, err := config.Parse(data)
	if err != nil {
		return config.Document{}, newProblem(http.StatusBadRequest, err)
	}
	return d, nil
}

// versionParameter returns a parameter that is a configuration version. If the
// parameter is missing, it uses the fallback, or fails if that is empty.
func versionParameter(r *http.Request, header, query, fallback string) (uint64, error) {
	t := parameter(r, header, query)
	if t == "" {
		t = fallback
	}
	if t == "" {
		return 0, newProblem(http.StatusBadRequest, fmt.Errorf("header %s or query %s is required", header, query))
	}
	v, err := strconv.ParseUint(t, 10, 64)
	if err != nil {
		return 0, newProblem(http.StatusBadRequest, fmt.Errorf("%s: %q is not a version", query, t))
	}
	return v, nil
}

// author returns who makes a change: the common name of the client certificate, or
// "plain" without one.
func author(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "plain"
	}
	return r.TLS.PeerCertificates[0].Subject.CommonName
}

// respond logs the change and writes its outcome as the response.
func (s *Server) respond(
	w http.ResponseWriter, r *http.Request, action string, request submission.Request, o submission.Outcome, err error,
) {
	log := s.Log.Info()
	if err != nil {
		log = s.Log.Warn().Err(err)
	}
	log = log.Str("action", action).Str("author", request.Author).Str("submit-id", request.ID).
		Uint64("base", request.Base).Str("remote", r.RemoteAddr)
	if err != nil {
		log.Msg("configuration change failed")
		var p problem
		if !errors.As(err, &p) {
			err = newProblem(http.StatusServiceUnavailable, err)
		}
		writeProblem(w, err)
		return
	}
	status, reply := http.StatusOK, result{SubmitID: request.ID}
	switch o := o.(type) {
	case submission.Accepted:
		reply.Outcome, reply.Version, reply.Kept = accepted, o.Version, o.Kept
	case submission.Conflict:
		status = http.StatusConflict
		reply.Outcome, reply.Version, reply.Difference, reply.Current = conflict, o.Current.Version, o.Diff, &o.Current
	default:
		status, reply.Outcome = http.StatusAccepted, unknown
	}
	if reply.Kept != "" {
		log = log.Str("kept", reply.Kept)
	}
	log.Str("outcome", reply.Outcome).Uint64("version", reply.Version).Msg("configuration change")
	writeJSON(w, status, typeJSON, reply)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	status := Summarize(s.Fleet.Status(r.Context()))
	status.Drained = drainedDomains(s.Fleet.Configuration())
	writeJSON(w, http.StatusOK, typeJSON, status)
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f := timeline.Filter{Request: q.Get("request"), Account: q.Get("account"), Target: q.Get("target"), Host: q.Get("host")}
	if t := q.Get("since"); t != "" {
		var err error
		if f.Since, err = time.Parse(time.RFC3339Nano, t); err != nil {
			writeProblem(w, newProblem(http.StatusBadRequest, fmt.Errorf("since: %w", err)))
			return
		}
	}
	w.Header().Set("Content-Type", typeNDJSON)
	_ = timeline.WriteJSON(w, s.Fleet.Events(r.Context(), f)) // the operator may have disconnected
}
