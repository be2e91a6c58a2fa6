package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/usage"
)

// Defaults for fields of Service that are zero.
const (
	defaultWriteRate      = 8 // 32 shards then use less than half of the platform's write rate
	defaultExpiry         = 10 * time.Minute
	defaultMaxAnswerBytes = 32 << 20
)

const (
	// ownerTimeout bounds a call to the owner of a shard. It leaves time to write
	// without the owner before the deadline of the claim.
	ownerTimeout = time.Second
	// answerWait bounds one wait for a response at another daemon, since net/rpc
	// calls can't be canceled at the receiver.
	answerWait = 2 * time.Second
	// answerRetryPause is the pause after a failed call for a response.
	answerRetryPause = 100 * time.Millisecond
)

// Service claims keys for one daemon and stores the responses to its claimed
// requests. The exported fields are set before Run.
type Service struct {
	Self     usage.Source
	KeyValue port.KeyValue
	Link     port.Link
	View     func() member.View
	// WriteRate is the maximum number of writes per second to one shard by this
	// daemon.
	WriteRate float64
	// Expiry is how long responses are stored and, with maxClockSkew added, how long a
	// key stays claimed.
	Expiry time.Duration
	// MaxAnswerBytes is the maximum total size of the stored responses, in bytes.
	MaxAnswerBytes int64
	Logger         zerolog.Logger

	once    sync.Once
	writers [Shards]*writer
	answers answerStore
}

var ownerFallbacks = metrics.NewCounter(`rattanline_claim_owner_fallbacks_total`)

func (s *Service) init() {
	s.once.Do(func() {
		if s.WriteRate == 0 {
			s.WriteRate = defaultWriteRate
		}
		if s.Expiry == 0 {
			s.Expiry = defaultExpiry
		}
		if s.MaxAnswerBytes == 0 {
			s.MaxAnswerBytes = defaultMaxAnswerBytes
		}
		s.answers.maxBytes = s.MaxAnswerBytes
		for i := range s.writers {
			s.writers[i] = newWriter(i, s)
		}
	})
}

// Run writes claims to the log until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	if len(s.Self.Daemon) > maxNameBytes || len(s.Self.Incarnation) > maxNameBytes {
		return errors.Errorf("name of the daemon longer than %d bytes", maxNameBytes)
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range s.writers {
		g.Go(func() error { return w.run(ctx) })
	}
	return g.Wait()
}

// Claim claims the key of the request. Unless the decision is Granted, the request
// must not be sent. The attempt is then recorded as not sent, which stays true even
// if the log contains its claim later.
func (s *Service) Claim(ctx context.Context, r Request) (Decision, error) {
	s.init()
	key, start := keyDigest(r), time.Now()
	// The attempt starts before the write, because a resend at another daemon may
	// find the claim in the log before the write returns.
	s.answers.start(key, r.Attempt)
	decision, err := s.submit(ctx, Operation{
		Key: key, Body: r.Body, Attempt: r.Attempt, Supersedes: r.Supersedes, Claimer: s.Self,
	})
	if _, granted := decision.(Granted); err == nil && granted {
		return Granted{Until: start.Add(s.Expiry / 2)}, nil
	}
	s.answers.end(time.Now(), s.Expiry, r.Attempt, attemptNotSent, Answer{})
	if err != nil {
		return nil, fmt.Errorf("claim key: %w", err)
	}
	return decision, nil
}

func keyDigest(r Request) Digest { return NewDigest([]byte(r.Account), []byte(r.Key)) }

// Release releases a claim whose request was not run and never will be: it was not
// sent, or its target answered with a not-run status.
func (s *Service) Release(ctx context.Context, r Request) error {
	s.init()
	// Resends may supersede the claim from here on, even if the write fails.
	s.answers.end(time.Now(), s.Expiry, r.Attempt, attemptNotSent, Answer{})
	if _, err := s.submit(ctx, Operation{Key: keyDigest(r), Attempt: r.Attempt, Release: true}); err != nil {
		return fmt.Errorf("release claim: %w", err)
	}
	return nil
}

// Finish stores the response to a request that was or may have been run, for resends.
func (s *Service) Finish(r Request, a Answer) {
	s.answers.end(time.Now(), s.Expiry, r.Attempt, attemptAnswered, a)
}

// submit sends the operation to the owner of its shard. If the owner does not
// decide it, this daemon writes it to the log itself, which is safe because the
// conditional write decides between daemons.
func (s *Service) submit(ctx context.Context, o Operation) (Decision, error) {
	shard := ShardOf(o.Key)
	owner, ok := member.Owner(ShardKey(shard), s.View().Live())
	if ok && owner.Name != s.Self.Daemon {
		decision, err := s.submitTo(ctx, owner, o)
		if err == nil {
			return decision, nil
		}
		ownerFallbacks.Inc()
		s.Logger.Debug().Err(err).Str("owner", owner.Name).Msg("owner did not decide the claim, writing it without the owner")
	}
	return s.writers[shard].submit(ctx, o)
}

func (s *Service) submitTo(ctx context.Context, owner member.Member, o Operation) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var reply AppendReply
	args := AppendArgs{Operations: []Operation{o}, Wait: ownerTimeout}
	if err := s.Link.Call(ctx, owner.LinkAddress, "Claim.Append", args, &reply); err != nil {
		return nil, fmt.Errorf("call owner %s: %w", owner.Name, err)
	}
	if len(reply.Results) != 1 {
		return nil, errors.Errorf("%d results from owner %s, want 1", len(reply.Results), owner.Name)
	}
	return reply.Results[0].decision()
}

// Await waits for the result of the earlier request that holds the key.
func (s *Service) Await(ctx context.Context, r Request, d Duplicate) (PriorResult, error) {
	s.init()
	key := keyDigest(r)
	if d.Claimer.Daemon == s.Self.Daemon && d.Claimer != s.Self {
		return Lost{Cause: "the daemon that sent the request was restarted"}, nil
	}
	for {
		state, answer, err := s.awaitOnce(ctx, key, d)
		switch {
		case ctx.Err() != nil && (err != nil || state == attemptRunning):
			return nil, fmt.Errorf("wait for the earlier request: %w", ctx.Err())
		case err != nil:
			m, ok := s.View().Find(d.Claimer.Daemon)
			if !ok || m.Incarnation != d.Claimer.Incarnation {
				return Lost{Cause: "the daemon that sent the request is gone"}, nil
			}
			select {
			case <-time.After(answerRetryPause):
			case <-ctx.Done():
			}
		case state == attemptAnswered:
			return Answered{Answer: answer}, nil
		case state == attemptNotSent:
			return NotSent{}, nil
		case state == attemptLost:
			return Lost{Cause: "the response is no longer kept"}, nil
		}
	}
}

func (s *Service) awaitOnce(ctx context.Context, key Digest, d Duplicate) (attemptState, Answer, error) {
	if d.Claimer == s.Self {
		state, answer := s.answers.wait(ctx, key, d.Attempt)
		return state, answer, nil
	}
	m, ok := s.View().Find(d.Claimer.Daemon)
	if !ok {
		return "", Answer{}, errors.Errorf("daemon %s is gone", d.Claimer.Daemon)
	}
	var reply AnswerReply
	args := AnswerArgs{Claimer: d.Claimer, Key: key, Attempt: d.Attempt, Wait: answerWait}
	ctx, cancel := context.WithTimeout(ctx, answerWait+ownerTimeout)
	defer cancel()
	if err := s.Link.Call(ctx, m.LinkAddress, "Claim.Answer", args, &reply); err != nil {
		return "", Answer{}, fmt.Errorf("call daemon %s: %w", m.Name, err)
	}
	return attemptState(reply.State), reply.Answer, nil
}
