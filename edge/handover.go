package edge

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/gateway"
	"rattanline.example/rattanline/socket"
)

const (
	// overflowDialTimeout bounds the opening of a connection to a peer.
	overflowDialTimeout = 300 * time.Millisecond
	// overflowBufferBytes is the size of the buffers for responses of peers.
	overflowBufferBytes = 8 << 10
	// maxFurtherBytes bounds what a caller may send after its request.
	maxFurtherBytes = 512
	// maxPeersTried bounds the peers that one request is offered to.
	maxPeersTried = 3
	// answerMargin is how long after the end of a request's time the first byte of the peer's
	// answer is awaited. The peer answers at that time itself, and its answer says more.
	answerMargin = 100 * time.Millisecond
	// exchangeMargin is how long after the end of a request's time the rest of an answer that
	// has begun is awaited. A peer that sends a byte now and then doesn't end it.
	exchangeMargin = time.Second
)

// handover is a request that is passed on to a peer.
type handover struct {
	overflow *overflow
	caller   net.Conn
	data     []byte    // what the caller has sent
	deadline time.Time // the end of the request's time
}

// outcome is what became of a request that was offered to a peer.
type outcome int

const (
	// answered means that the caller got a part of an answer, or has left.
	answered outcome = iota
	// lost means that the peer may have run the request, and answered nothing.
	lost
	// notTaken means that the peer didn't and won't run the request.
	notTaken
)

// run offers the request to the peer and, as long as none takes it, to others. If a peer may have
// run it and doesn't answer, the caller gets 502, which promises nothing; if none took it, the
// refusal of an overloaded daemon.
func (h *handover) run(peer string) {
	o := h.overflow
	for range maxPeersTried {
		switch h.offer(peer) {
		case answered:
			return
		case lost:
			lostHandovers.Inc()
			_, _ = h.caller.Write(gateway.LostResponse()) // it only fails if the caller leaves now
			return
		case notTaken:
		}
		var ok bool
		if peer, ok = o.peer(); !ok || !time.Now().Before(h.deadline) {
			break
		}
	}
	untakenHandovers.Inc()
	_, _ = h.caller.Write(gateway.OverloadedResponse()) // the caller may have left
}

// offer sends the request to the peer and forwards its answer.
func (h *handover) offer(peer string) outcome {
	o := h.overflow
	logger := o.logger.With().Str("caller", h.caller.RemoteAddr().String()).Str("peer", peer).Logger()
	o.breaker.began(peer, clock.Now())
	waits := sync.OnceFunc(func() { o.breaker.ended(peer) })
	defer waits()
	d := net.Dialer{Timeout: overflowDialTimeout, KeepAlive: -1, Deadline: h.deadline}
	to, err := d.Dial("tcp", peer)
	if err != nil {
		if time.Now().Before(h.deadline) {
			o.breaker.unreachable(peer)
		}
		logger.Info().Err(err).Msg("request not passed on")
		return notTaken
	}
	if socket.StateOf(h.caller) == socket.Closed {
		_ = to.Close() // nothing was sent
		logger.Info().Msg("request not passed on, its caller left")
		return answered
	}
	defer func() { _ = to.Close() }()
	defer o.untrack(to)
	if !o.track(to) {
		return notTaken
	}
	result, err := h.exchange(to, func() {
		o.breaker.recordContact(peer, clock.Now())
		waits()
	})
	if result == answered {
		return answered
	}
	_ = socket.Reset(to)
	if socket.StateOf(h.caller) == socket.Closed {
		return answered
	}
	if result == notTaken {
		o.postpone(peer)
		logger.Info().Msg("request not taken, the peer has an older configuration")
		return notTaken
	}
	logger.Info().Err(err).Msg("request passed on, but not answered")
	return lost
}

var overflowBuffers = sync.Pool{New: func() any { b := make([]byte, overflowBufferBytes); return &b }}

// exchange sends the request and what else the caller sends to the peer, and returns the response
// to the caller, until one of them closes its connection. It calls onContact at the first byte of the
// response. The error is why a request got no response.
func (h *handover) exchange(peer net.Conn, onContact func()) (outcome, error) {
	// Deadlines can only be set on an open connection; on a closed one all calls fail.
	_ = peer.SetDeadline(h.deadline.Add(answerMargin))
	_ = h.caller.SetWriteDeadline(h.deadline.Add(2 * exchangeMargin))
	if _, err := peer.Write(h.data); err != nil {
		return lost, err
	}
	stop := h.forwardFurther(peer)
	pooled := overflowBuffers.Get().(*[]byte)
	defer overflowBuffers.Put(pooled)
	for begun := false; ; begun = true {
		n, err := peer.Read(*pooled)
		if !begun && n == 0 {
			return lost, err
		}
		if !begun {
			onContact()
			if bytes.Equal((*pooled)[:n], behindMark) {
				stop()
				return notTaken, nil
			}
			_ = peer.SetDeadline(h.deadline.Add(exchangeMargin))
		}
		if _, werr := h.caller.Write((*pooled)[:n]); err != nil || werr != nil {
			return answered, nil
		}
		if pause := h.overflow.batchDelay(); pause > 0 {
			time.Sleep(pause)
		}
	}
}

// forwardFurther forwards what else the caller sends to the peer until the caller leaves, which
// ends the exchange, or until stop is called.
func (h *handover) forwardFurther(peer net.Conn) (stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Without methods other than Write, io.Copy reads into a buffer and needs no pipe.
		_, _ = io.Copy(struct{ io.Writer }{peer}, io.LimitReader(h.caller, maxFurtherBytes))
		_ = socket.Reset(peer)
	}()
	return func() {
		_ = h.caller.SetReadDeadline(time.Now())
		<-done
		_ = h.caller.SetReadDeadline(time.Time{})
	}
}

// withVersion returns the request with the version of the configuration that this daemon acts by.
func withVersion(data []byte, version uint64) []byte {
	line, rest, ok := bytes.Cut(data, []byte("\r\n"))
	if !ok || version == 0 {
		return data
	}
	stated := make([]byte, 0, len(data)+64)
	stated = append(stated, line...)
	stated = append(stated, "\r\n"+versionHeader+": "...)
	stated = strconv.AppendUint(stated, version, 10)
	stated = append(stated, "\r\n"...)
	return append(stated, rest...)
}
