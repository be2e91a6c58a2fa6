package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/submission"
)

// setDrained returns the handler that drains or restores a failure domain.
func (s *Server) setDrained(drained bool) http.HandlerFunc {
	action := "restore"
	if drained {
		action = "drain"
	}
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := readRequest(r)
		if err == nil {
			err = s.refresh(r)
		}
		if err != nil {
			writeProblem(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
		defer cancel()
		domain := r.PathValue("name")
		outcome, err := s.changeDomain(ctx, &request, domain, drained)
		s.respond(w, r, action+" "+domain, request, outcome, err)
	}
}

var errConflict = errors.New("changed by another operator")

// changeDomain submits the change. After a conflict with another operator it applies
// the change to the current version and submits it again. It submits the change
// even if the domain is already in the requested state, because the version at this
// daemon may be outdated. The id stays the same, because a conflict shows that
// nothing was stored under it.
func (s *Server) changeDomain(
	ctx context.Context, request *submission.Request, domain string, drained bool,
) (submission.Outcome, error) {
	d := s.Fleet.Configuration()
	var last submission.Outcome
	try := func() (submission.Outcome, error) {
		if _, ok := d.FailureDomain(domain); !ok {
			err := fmt.Errorf("version %d has no failure domain %q", d.Version, domain)
			return nil, backoff.Permanent(error(newProblem(http.StatusNotFound, err)))
		}
		request.Base, request.Document, request.SetsDrained = d.Version, d.WithDrained(domain, drained), true
		outcome, err := s.Fleet.Submit(ctx, *request)
		if err != nil {
			return nil, backoff.Permanent(err)
		}
		if o, ok := outcome.(submission.Conflict); ok {
			d, last = o.Current, o
			return nil, errConflict
		}
		return outcome, nil
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 10*time.Millisecond, 500*time.Millisecond
	outcome, err := backoff.Retry(ctx, try, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err != nil && ctx.Err() != nil && last != nil {
		return last, nil
	}
	return outcome, err
}
