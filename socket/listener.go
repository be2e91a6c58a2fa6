package socket

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// acceptRetryDelay is the pause after a failed Accept.
const acceptRetryDelay = 10 * time.Millisecond

// Listener is a listener whose Accept fails only once it is closed. The kernel reports
// errors of single connections, and a lack of memory or descriptors, as errors of accept, at
// some of which http.Server.Serve ends. The exported fields are set before the first call.
type Listener struct {
	net.Listener
	Logger *zerolog.Logger

	failing bool // whether the last call of Accept failed; used by one goroutine
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			l.failing = false
			return c, err
		}
		if !l.failing {
			l.failing = true
			l.Logger.Warn().Err(err).Str("address", l.Addr().String()).Msg("connections can't be accepted, trying again")
		}
		time.Sleep(acceptRetryDelay)
	}
}
