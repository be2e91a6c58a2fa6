package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/usage"
)

// maxWait bounds the time for which another daemon may hold a call.
const maxWait = 5 * time.Second

// AppendArgs are operations for the owner of their shards.
type AppendArgs struct {
	Operations []Operation
	Wait       time.Duration
}

// AppendResult is a Decision as it is sent. Kind is empty after an error.
type AppendResult struct {
	Kind    string
	Claimer usage.Source
	Attempt Digest
	Error   string
}

// AppendReply holds a result for each operation.
type AppendReply struct{ Results []AppendResult }

// AnswerArgs ask the claiming daemon for the response to an attempt.
type AnswerArgs struct {
	Claimer usage.Source
	Key     Digest
	Attempt Digest
	Wait    time.Duration
}

// AnswerReply holds the state of the attempt, and its response if it has one.
type AnswerReply struct {
	State  string
	Answer Answer
}

func resultOf(d Decision, err error) AppendResult {
	switch d := d.(type) {
	case Granted:
		return AppendResult{Kind: "granted"}
	case Duplicate:
		return AppendResult{Kind: "duplicate", Claimer: d.Claimer, Attempt: d.Attempt}
	case Mismatch:
		return AppendResult{Kind: "mismatch"}
	case Full:
		return AppendResult{Kind: "full"}
	}
	return AppendResult{Error: err.Error()}
}

func (r AppendResult) decision() (Decision, error) {
	switch r.Kind {
	case "granted":
		return Granted{}, nil
	case "duplicate":
		return Duplicate{Claimer: r.Claimer, Attempt: r.Attempt}, nil
	case "mismatch":
		return Mismatch{}, nil
	case "full":
		return Full{}, nil
	}
	return nil, errors.Errorf("owner: %q %s", r.Kind, r.Error)
}

// Receiver serves other daemons under the link name "Claim".
type Receiver struct{ service *Service }

// Receiver returns the receiver to register at the link.
func (s *Service) Receiver() *Receiver {
	s.init()
	return &Receiver{service: s}
}

// Append decides operations as the owner of their shards.
func (r *Receiver) Append(args AppendArgs, reply *AppendReply) error {
	if len(args.Operations) > MaxBatch {
		return errors.Errorf("%d operations", len(args.Operations))
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(max(0, args.Wait), maxWait))
	defer cancel()
	reply.Results = make([]AppendResult, len(args.Operations))
	for i, o := range args.Operations {
		if len(o.Claimer.Daemon) > maxName || len(o.Claimer.Incarnation) > maxName {
			return errors.New("name of the claiming daemon too long")
		}
		decision, err := r.service.writers[ShardOf(o.Key)].submit(ctx, o)
		reply.Results[i] = resultOf(decision, err)
	}
	return nil
}

// Answer returns the response to an attempt of this daemon once it has ended.
func (r *Receiver) Answer(args AnswerArgs, reply *AnswerReply) error {
	if args.Claimer != r.service.Self {
		reply.State = string(attemptLost) // an earlier incarnation, whose memory is gone
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(max(0, args.Wait), maxWait))
	defer cancel()
	state, answer := r.service.answers.wait(ctx, args.Key, args.Attempt)
	reply.State, reply.Answer = string(state), answer
	return nil
}
