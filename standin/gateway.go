package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// integer is an int64 that the gateway encodes as a JSON string and decodes from a
// string or a number.
type integer int64

// MarshalJSON encodes the integer as a string.
func (i integer) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON decodes a string or a number.
func (i *integer) UnmarshalJSON(b []byte) error {
	n, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	*i = integer(n)
	return err
}

type header struct {
	ClusterID integer `json:"cluster_id,omitempty"`
	MemberID  integer `json:"member_id,omitempty"`
	Revision  integer `json:"revision,omitempty"`
	RaftTerm  integer `json:"raft_term,omitempty"`
}

func (s *store) header() header {
	return header{
		ClusterID: 1484163906896517841, MemberID: 1027665774393297543, Revision: integer(s.revision), RaftTerm: 2,
	}
}

// decode decodes a request body. Like the gateway it accepts field names in snake
// case and in camel case.
func decode(r *http.Request, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	if len(data) > maxBody {
		return errTooLarge
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return &gatewayError{codeInvalid, err.Error()}
	}
	data, err = json.Marshal(toSnakeCase(tree))
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		return &gatewayError{codeInvalid, err.Error()}
	}
	return nil
}

func toSnakeCase(v any) any {
	switch x := v.(type) {
	case map[string]any:
		m := make(map[string]any, len(x))
		for k, e := range x {
			m[snakeCaseName(k)] = toSnakeCase(e)
		}
		return m
	case []any:
		for i := range x {
			x[i] = toSnakeCase(x[i])
		}
	}
	return v
}

func snakeCaseName(name string) string {
	if name == "ID" || name == "TTL" {
		return name
	}
	var b strings.Builder
	for _, c := range name {
		if c >= 'A' && c <= 'Z' {
			b.WriteByte('_')
			c += 'a' - 'A'
		}
		b.WriteRune(c)
	}
	return b.String()
}

// writeError writes an error response in the format of the gateway.
func writeError(w http.ResponseWriter, err error) {
	var e *gatewayError
	if !errors.As(err, &e) {
		e = &gatewayError{codeInvalid, err.Error()}
	}
	status := http.StatusBadRequest
	if e.code == codeNotFound {
		status = http.StatusNotFound
	}
	writeJSON(w, status, map[string]any{"error": e.message, "code": e.code, "message": e.message})
}
