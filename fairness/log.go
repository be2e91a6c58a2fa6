// Package fairness measures from the logs of the daemons how the work that targets began
// is divided among the client accounts.
package fairness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Request is a request, or several refused ones, as the daemons logged them. Times count
// from the origin of the log's clock.
type Request struct {
	Account string
	// Count is the number of requests, Work the tokens of all of them that count
	// towards the share of the account.
	Count int
	Work  float64
	// Arrived and Ended are when the request arrived and when its response ended.
	Arrived, Ended time.Duration
	// Began reports whether a target began to answer, BeganAt when.
	Began   bool
	BeganAt time.Duration
	// Aim is the time within which the answer has its full value; zero if unknown.
	Aim time.Duration
	// Reason states why the request was not run, empty if it may have run.
	Reason string
}

// maxLineBytes bounds a line of a log; longer ones are an error.
const maxLineBytes = 1 << 20

// These lines contain requests.
var (
	endedMessage   = []byte(`"message":"request ended"`)
	refusedMessage = []byte(`"message":"requests refused"`)
)

// line holds the fields of a log line; durations are in milliseconds.
type line struct {
	Time    string   `json:"time"`
	Account string   `json:"account"`
	Outcome string   `json:"outcome"`
	Reason  string   `json:"reason"`
	Work    float64  `json:"work"`
	Took    float64  `json:"took"`
	Waited  float64  `json:"waited"`
	First   *float64 `json:"first"`
	Aim     float64  `json:"aim"`
	Count   int      `json:"count"`
}

// ReadLog calls add for each request in a log. A line may have text before its JSON
// object; if that begins with a number, it is the time in seconds and replaces the field
// "time". Other lines are ignored.
func ReadLog(r io.Reader, add func(Request)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		text := scanner.Bytes()
		ended := bytes.Contains(text, endedMessage)
		if !ended && !bytes.Contains(text, refusedMessage) {
			continue
		}
		start := max(bytes.IndexByte(text, '{'), 0)
		var l line
		if err := json.Unmarshal(text[start:], &l); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		at, err := l.at(text[:start])
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if ended {
			add(l.endedRequest(at))
		} else {
			add(Request{Account: l.Account, Count: l.Count, Work: l.Work, Arrived: at, Ended: at, Reason: l.Reason})
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// at returns the time of the line, given the text before its JSON object.
func (l line) at(prefix []byte) (time.Duration, error) {
	if fields := bytes.Fields(prefix); len(fields) > 0 {
		if seconds, err := strconv.ParseFloat(string(fields[0]), 64); err == nil {
			return time.Duration(seconds * float64(time.Second)), nil
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	if err != nil {
		return 0, fmt.Errorf("time: %w", err)
	}
	return time.Duration(at.UnixNano()), nil
}

func (l line) endedRequest(at time.Duration) Request {
	q := Request{
		Account: l.Account, Count: 1, Work: l.Work, Arrived: at - milliseconds(l.Took), Ended: at,
		Aim: milliseconds(l.Aim), Reason: l.Reason,
	}
	switch {
	case l.First != nil:
		q.Began, q.BeganAt = true, q.Arrived+milliseconds(*l.First)
	case l.Outcome == "ran":
		q.Began, q.BeganAt = true, q.Arrived+milliseconds(l.Waited)
	}
	if !q.Began && q.Reason == "" {
		q.Reason = "failed"
	}
	return q
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
