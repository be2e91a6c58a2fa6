package upstream

import (
	"net"
	"time"
)

// upload is the writing of a request while its response may already arrive.
type upload struct {
	done chan struct{} // closed when it has ended
	err  error         // set before done is closed
}

// startUpload writes the buffers to the connection.
func startUpload(c net.Conn, buffers net.Buffers) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = buffers.WriteTo(c)
	}()
	return u
}

// complete reports whether everything has been written.
func (u *upload) complete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// failure waits for the end of the upload for a limited time, and returns its error, nil if it goes
// on.
func (u *upload) failure(limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err
	case <-timer.C:
		return nil
	}
}
