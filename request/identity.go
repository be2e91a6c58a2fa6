package request

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// The headers that identify a response of a target.
const (
	AttemptHeader     = "X-Request-Id"
	IncarnationHeader = "Target-Incarnation"
)

// Identity is what a response must show to belong to an attempt.
type Identity struct {
	Request string
	Attempt int
	// Incarnation of the target, empty while it is not known.
	Incarnation string
}

// ErrMismatch is the cause of a response that belongs to another attempt.
var ErrMismatch = errors.New("response doesn't match the attempt")

// String returns the value of the attempt header.
func (i Identity) String() string { return i.Request + "-" + strconv.Itoa(i.Attempt) }

// ParseIdentity reads the value of the attempt header.
func ParseIdentity(s string) (Identity, error) {
	dash := strings.LastIndexByte(s, '-')
	if dash <= 0 {
		return Identity{}, errors.Errorf("attempt id %q without attempt number", s)
	}
	n, err := strconv.Atoi(s[dash+1:])
	if err != nil || n < 1 {
		return Identity{}, errors.Errorf("attempt id %q with attempt number %q", s, s[dash+1:])
	}
	return Identity{Request: s[:dash], Attempt: n}, nil
}

// Check tells whether the response header belongs to the attempt, and returns
// the identity with the incarnation that the target named.
func (i Identity) Check(h http.Header) (Identity, error) {
	if values := h.Values(AttemptHeader); len(values) != 1 || values[0] != i.String() {
		return i, fmt.Errorf("attempt %q, want %q: %w", values, i, ErrMismatch)
	}
	values := h.Values(IncarnationHeader)
	if len(values) > 1 || (len(values) == 1 && len(values[0]) > 128) {
		return i, fmt.Errorf("target incarnation repeated or too long: %w", ErrMismatch)
	}
	named := h.Get(IncarnationHeader)
	if i.Incarnation != "" && named != i.Incarnation {
		return i, fmt.Errorf("target incarnation %q, want %q: %w", named, i.Incarnation, ErrMismatch)
	}
	i.Incarnation = named
	return i, nil
}
