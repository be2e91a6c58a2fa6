package submission_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/submission"
)

// lossyKeyValue holds one key and loses requests and responses at random. A lost
// write takes effect immediately, after a delay or never.
type lossyKeyValue struct {
	port.KeyValue // panics on the methods that Store must not call

	loss float64

	mu      sync.Mutex
	random  *rand.Rand
	entry   port.Entry
	written []submission.Envelope // every write that took effect
}

func newLossyKeyValue(seed uint64, loss float64) *lossyKeyValue {
	return &lossyKeyValue{loss: loss, random: rand.New(rand.NewPCG(seed, 1)), entry: port.Entry{Key: submission.Key}}
}

func (k *lossyKeyValue) draw() (chance float64, delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.random.Float64(), time.Duration(1+k.random.IntN(10)) * time.Millisecond
}

func (k *lossyKeyValue) Get(_ context.Context, _ string) (port.Entry, error) {
	chance, delay := k.draw()
	time.Sleep(delay)
	if chance < k.loss {
		return port.Entry{}, port.ErrUnavailable
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.entry, nil
}

func (k *lossyKeyValue) Commit(_ context.Context, t port.Transaction) (port.Result, error) {
	chance, delay := k.draw()
	time.Sleep(delay)
	switch {
	case chance < k.loss/4:
		return port.Result{}, port.ErrUnavailable
	case chance < k.loss/2:
		return port.Result{}, port.ErrOutcomeUnknown
	case chance < k.loss*3/4:
		k.apply(t)
		return port.Result{}, port.ErrOutcomeUnknown
	case chance < k.loss:
		time.AfterFunc(20*delay, func() { k.apply(t) })
		return port.Result{}, port.ErrOutcomeUnknown
	}
	return k.apply(t), nil
}

func (k *lossyKeyValue) latest() config.Document {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.written) == 0 {
		return config.Document{}
	}
	return k.written[len(k.written)-1].Document
}

func (k *lossyKeyValue) apply(t port.Transaction) port.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.Conditions[0].Revision != k.entry.Revision {
		return port.Result{Revision: k.entry.Revision}
	}
	k.entry.Value = t.Writes[0].Value
	k.entry.Revision++
	e, err := submission.DecodeEnvelope(k.entry.Value)
	if err != nil {
		panic(err)
	}
	k.written = append(k.written, e)
	return port.Result{Committed: true, Revision: k.entry.Revision}
}
