package upstream

import (
	"bytes"
	"encoding/json"

	"rattanline.example/rattanline/request"
)

// maxUsagePartBytes bounds each of the two parts of a JSON response that are recorded to read its
// usage: its beginning and its end. Responses state their usage in one of them.
const maxUsagePartBytes = 64 << 10

// usageRecorder records the parts of a JSON response that may state its usage. It holds at most three
// times maxUsagePartBytes, however long the response is.
type usageRecorder struct {
	begin []byte
	// end holds the bytes after begin, at least the last maxUsagePartBytes of them and at most
	// twice as many.
	end []byte
	cut bool // whether bytes between begin and end were dropped
}

// Write implements io.Writer.
func (r *usageRecorder) Write(p []byte) (int, error) {
	n := len(p)
	if free := maxUsagePartBytes - len(r.begin); free > 0 {
		taken := min(free, len(p))
		r.begin, p = append(r.begin, p[:taken]...), p[taken:]
	}
	for len(p) > 0 {
		taken := min(maxUsagePartBytes, len(p))
		r.end, p = append(r.end, p[:taken]...), p[taken:]
		if len(r.end) > 2*maxUsagePartBytes {
			kept := copy(r.end, r.end[len(r.end)-maxUsagePartBytes:])
			r.end, r.cut = r.end[:kept], true
		}
	}
	return n, nil
}

// tokens returns the usage that the response states, zero if there is none.
func (r *usageRecorder) tokens() request.Tokens {
	if !r.cut {
		return wholeUsage(append(bytes.Clone(r.begin), r.end...))
	}
	if u := lastUsage(r.end); u != nil {
		return u.tokens()
	}
	if u := lastUsage(r.begin); u != nil {
		return u.tokens()
	}
	return request.Tokens{}
}

// wholeUsage returns the usage that a whole response states.
func wholeUsage(data []byte) request.Tokens {
	var body struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(data, &body) != nil || body.Usage == nil {
		return request.Tokens{}
	}
	return body.Usage.tokens()
}

// usageKey can't stand in a JSON string, whose quotes are escaped.
var usageKey = []byte(`"usage":`)

// lastUsage returns the last usage in a part of a response, nil if it holds none.
func lastUsage(part []byte) *usage {
	i := bytes.LastIndex(part, usageKey)
	if i < 0 {
		return nil
	}
	var u *usage
	if json.NewDecoder(bytes.NewReader(part[i+len(usageKey):])).Decode(&u) != nil {
		return nil
	}
	return u
}
