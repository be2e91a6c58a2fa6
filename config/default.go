package config

import "time"

// Defaults of fields that a document leaves out.
const (
	DefaultTimeout        = 120 * time.Second
	DefaultMaxQueued      = 256
	DefaultMaxQueuedBytes = 16 << 20
)

// WithDefaults returns the account with its queue bounds filled in.
func (a Account) WithDefaults() Account {
	if a.MaxQueued == 0 {
		a.MaxQueued = DefaultMaxQueued
	}
	if a.MaxQueuedBytes == 0 {
		a.MaxQueuedBytes = DefaultMaxQueuedBytes
	}
	return a
}

// WithDefaults returns the service with its timeout filled in.
func (s Service) WithDefaults() Service {
	if s.Timeout == 0 {
		s.Timeout = Duration(DefaultTimeout)
	}
	return s
}
