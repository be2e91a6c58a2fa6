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

// Identity identifies an attempt. A response belongs to the attempt if its headers
// match.
type Identity struct {
	Request string
	Attempt int
	// Incarnation is the incarnation of the target, empty while unknown.
	Incarnation string
}

// ErrMismatch is the error of a response that belongs to another attempt.
var ErrMismatch = errors.New("response doesn't match the attempt")

// String returns the value of the attempt header.
func (i Identity) String() string { return i.Request + "-" + strconv.Itoa(i.Attempt) }

// ParseIdentity parses the value of the attempt header.
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

// Check returns an error if the response header does not belong to the attempt,
// and otherwise the identity with the incarnation in the response.
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
