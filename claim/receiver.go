package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/usage"
)

// maxRemoteWait bounds how long a call of another daemon may wait.
const maxRemoteWait = 5 * time.Second

// AppendArgs are the arguments of Claim.Append, a call to the owner of the shards
// of the operations.
type AppendArgs struct {
	Operations []Operation
	Wait       time.Duration
}

// AppendResult is the wire form of a Decision. Kind is empty after an error.
type AppendResult struct {
	Kind    string
	Claimer usage.Source
	Attempt Digest
	Error   string
}

// AppendReply holds one result per operation, in the same order.
type AppendReply struct{ Results []AppendResult }

// AnswerArgs are the arguments of Claim.Answer, a call to the claiming daemon for
// the response to an attempt.
type AnswerArgs struct {
	Claimer usage.Source
	Key     Digest
	Attempt Digest
	Wait    time.Duration
}

// AnswerReply holds the state of the attempt and its response, if any.
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
	return nil, errors.Errorf("owner replied kind %q, error %q", r.Kind, r.Error)
}

// Receiver serves the calls of other daemons under the net/rpc service name
// "Claim".
type Receiver struct{ service *Service }

// Receiver returns the receiver to register at the link server.
func (s *Service) Receiver() *Receiver {
	s.init()
	return &Receiver{service: s}
}

// Append decides operations of another daemon as the owner of their shards, within
// args.Wait and maxRemoteWait.
func (r *Receiver) Append(args AppendArgs, reply *AppendReply) error {
	if len(args.Operations) > MaxBatch {
		return errors.Errorf("%d operations", len(args.Operations))
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(max(0, args.Wait), maxRemoteWait))
	defer cancel()
	reply.Results = make([]AppendResult, len(args.Operations))
	for i, o := range args.Operations {
		if len(o.Claimer.Daemon) > maxNameBytes || len(o.Claimer.Incarnation) > maxNameBytes {
			return errors.New("name of the claiming daemon too long")
		}
		decision, err := r.service.writers[ShardOf(o.Key)].submit(ctx, o)
		reply.Results[i] = resultOf(decision, err)
	}
	return nil
}

// Answer waits for the end of an attempt of this daemon, within args.Wait and
// maxRemoteWait, and returns its state and its response, if any.
func (r *Receiver) Answer(args AnswerArgs, reply *AnswerReply) error {
	if args.Claimer != r.service.Self {
		reply.State = string(attemptLost) // responses of earlier incarnations are not stored
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(max(0, args.Wait), maxRemoteWait))
	defer cancel()
	state, answer := r.service.answers.wait(ctx, args.Key, args.Attempt)
	reply.State, reply.Answer = string(state), answer
	return nil
}
