package config

import "time"

// Default values of fields that a document omits.
const (
	// DefaultTimeout is the timeout of a service.
	DefaultTimeout = 120 * time.Second
	// DefaultMaxQueued is the number of requests that an account may queue in one
	// daemon.
	DefaultMaxQueued = 256
	// DefaultMaxQueuedBytes is the total size of the request bodies that an account
	// may queue in one daemon.
	DefaultMaxQueuedBytes = 16 << 20
)

// WithDefaults returns the account with unset queue limits replaced by their
// defaults.
func (a Account) WithDefaults() Account {
	if a.MaxQueued == 0 {
		a.MaxQueued = DefaultMaxQueued
	}
	if a.MaxQueuedBytes == 0 {
		a.MaxQueuedBytes = DefaultMaxQueuedBytes
	}
	return a
}

// WithDefaults returns the service with an unset timeout replaced by the default.
func (s Service) WithDefaults() Service {
	if s.Timeout == 0 {
		s.Timeout = Duration(DefaultTimeout)
	}
	return s
}
