package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/request"
)

// overloadRetryAfter is the Retry-After value of an overloaded daemon. Every request
// adds to its load, even a refused one.
const overloadRetryAfter = 500 * time.Millisecond

// overloadedRefusal returns the refusal of a request by an overloaded daemon.
func overloadedRefusal() *request.Refusal {
	return &request.Refusal{Reason: request.Overloaded, Detail: "this daemon is overloaded", RetryAfter: overloadRetryAfter}
}

// OverloadedResponse returns the response to a request that is refused unparsed. It closes
// the connection.
var OverloadedResponse = sync.OnceValue(func() []byte {
	refusal := overloadedRefusal()
	return closingResponse(refusal.Status(), refusal.Detail, refusal.RetryAfter)
})

// LostResponse returns the response to a request that was passed on and got no answer, so that
// it may have run. It closes the connection.
var LostResponse = sync.OnceValue(func() []byte {
	return closingResponse(http.StatusBadGateway, "the daemon that the request was passed on to did not answer", 0)
})

// closingResponse encodes an error response that closes the connection.
func closingResponse(status int, detail string, retry time.Duration) []byte {
	body := errorBody(detail)
	r := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: errorHeader(retry, len(body)),
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)), Close: true,
	}
	var encoded bytes.Buffer
	_ = r.Write(&encoded) // a bytes.Buffer accepts all writes
	return encoded.Bytes()
}

// Verdict states what is done with a request on a new connection, before it is parsed.
type Verdict interface{ isVerdict() }

type (
	// Undecided means that the request must be parsed to decide.
	Undecided struct{}
	// Serve means that the request is served.
	Serve struct{}
	// Refuse means that the request is answered with OverloadedResponse.
	Refuse struct{}
	// PassOn means that the connection is passed on to the peer at the address. Wait is the time
	// in which the request must be answered, Version the configuration that this daemon acts by,
	// zero if it has none.
	PassOn struct {
		Peer    string
		Wait    time.Duration
		Version uint64
	}
)

func (Undecided) isVerdict() {}
func (Serve) isVerdict()     {}
func (Refuse) isVerdict()    {}
func (PassOn) isVerdict()    {}

// DecideUnparsed decides about a request, given only the bytes that a caller sent on a new
// connection, and counts and logs what is not served here. It takes a fraction of the
// processor time that ServeHTTP takes for a refusal, so that an overloaded daemon has time
// left to serve requests.
func (h *Handler) DecideUnparsed(data []byte, decide func(account string) Verdict) Verdict {
	head, ok := wholeRequest(data)
	if !ok || bytes.HasPrefix(head, []byte(http.MethodHead+" ")) { // its response has no body
		return Undecided{}
	}
	demand := h.Protocol.Identify(head)
	account := ""
	x := h.View().Index
	if x != nil {
		a, _ := x.AccountByKey(demand.APIKey)
		account = a.Name
	}
	verdict := decide(account)
	switch v := verdict.(type) {
	case Refuse:
		receivedRequests.Inc()
		overloadedRefusals.Inc()
		relay.CountRefusal(account, overloadedRefusal())
		h.unparsed.add(&h.Forwarder.Logger, unparsedKey{account, ""}, demand)
	case PassOn:
		v.Wait = waitOf(x, head, demand.Wait)
		if x != nil {
			v.Version = x.Version()
		}
		verdict = v
		receivedRequests.Inc()
		passedRequests.Inc()
		h.unparsed.add(&h.Forwarder.Logger, unparsedKey{account, v.Peer}, demand)
	case Undecided, Serve:
	}
	return verdict
}

// waitOf returns the time in which the request with the unparsed head must be answered: the
// timeout of its route, or the time for which its caller waits if that is shorter.
func waitOf(x *config.Index, head []byte, callerWait time.Duration) time.Duration {
	if x == nil {
		return waitOn(config.Route{}, callerWait)
	}
	line, _, _ := bytes.Cut(head, []byte("\r\n"))
	_, rest, _ := bytes.Cut(line, []byte(" "))
	uri, _, _ := bytes.Cut(rest, []byte(" "))
	path, _, _ := bytes.Cut(uri, []byte("?"))
	route, _ := x.Route(string(HeaderValue(head, "Host")), string(path))
	return waitOn(route, callerWait)
}

// waitOn returns the time in which a request on the route must be answered; callerWait is zero
// if the caller states no time.
func waitOn(r config.Route, callerWait time.Duration) time.Duration {
	timeout := r.Timeout.Std()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if callerWait > 0 {
		timeout = min(timeout, callerWait)
	}
	return timeout
}

const (
	// unparsedLogDelay is how long requests are collected for one log line.
	unparsedLogDelay = 100 * time.Millisecond
	// maxLoggedRequests is the maximum number of requests in one log line.
	maxLoggedRequests = 200
)

// unparsedLog logs requests that were refused or passed on unparsed, several in one line,
// because a line for each would take more processor time than its refusal.
type unparsedLog struct {
	mu sync.Mutex
	// pending holds the requests that are not logged yet.
	pending map[unparsedKey]unparsedRequests
}

// unparsedKey is what the requests in one log line have in common. The peer is empty if
// they were refused.
type unparsedKey struct{ account, peer string }

type unparsedRequests struct {
	ids  []string
	work float64 // of all of them
}

func (l *unparsedLog) add(logger *zerolog.Logger, key unparsedKey, demand request.Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = map[unparsedKey]unparsedRequests{}
	}
	if len(l.pending) == 0 {
		time.AfterFunc(unparsedLogDelay, func() { l.flush(logger) })
	}
	requests := l.pending[key]
	requests.ids = append(requests.ids, demand.ID)
	requests.work += demand.Work()
	if len(requests.ids) == maxLoggedRequests {
		requests.log(logger, key)
		requests = unparsedRequests{}
	}
	l.pending[key] = requests
}

// flush logs the pending requests.
func (l *unparsedLog) flush(logger *zerolog.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, requests := range l.pending {
		if len(requests.ids) > 0 {
			requests.log(logger, key)
		}
	}
	clear(l.pending)
}

func (r unparsedRequests) log(logger *zerolog.Logger, key unparsedKey) {
	e := logger.Info().Str("account", key.account).Int("count", len(r.ids)).Strs("request-ids", r.ids)
	if key.peer != "" {
		e.Str("peer", key.peer).Msg("requests passed on")
		return
	}
	refusal := overloadedRefusal()
	e.Float64("work", r.work).Int("status", refusal.Status()).
		Str("reason", string(refusal.Reason)).Str("cause", refusal.Detail).Msg("requests refused")
}
