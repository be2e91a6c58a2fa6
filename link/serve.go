package link

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

var panics = metrics.NewCounter("rattanline_link_method_panics_total")

// serveCalls serves the calls on a connection until it ends, each in a goroutine of its own,
// and waits for those that run. A method that panics ends only its call; in
// rpc.Server.ServeConn it would end the process.
func serveCalls(server *rpc.Server, c net.Conn, logger *zerolog.Logger) {
	buffer := bufio.NewWriter(c)
	codec := &serverCodec{Conn: c, decoder: gob.NewDecoder(c), encoder: gob.NewEncoder(buffer), buffer: buffer}
	var running sync.WaitGroup
	defer running.Wait()
	for {
		one := &serverCall{serverCodec: codec, logger: logger, read: make(chan bool, 1)}
		running.Go(func() { one.serve(server) })
		if !<-one.read {
			return
		}
	}
}

// serverCodec encodes and decodes the messages of one connection with gob, as net/rpc does.
type serverCodec struct {
	net.Conn
	decoder *gob.Decoder
	mu      sync.Mutex // held while a response is written
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

// serverCall is one call on a connection. It implements rpc.ServerCodec.
type serverCall struct {
	*serverCodec
	logger *zerolog.Logger
	header rpc.Request
	// read receives whether the next call can be read, once this one was read or has failed.
	read     chan bool
	readOnce sync.Once
}

var _ rpc.ServerCodec = (*serverCall)(nil)

// serve reads the call, runs its method and writes the response.
func (c *serverCall) serve(server *rpc.Server) {
	defer func() {
		if p := recover(); p != nil {
			panics.Inc()
			c.logger.Error().Str("method", c.header.ServiceMethod).Str("peer", c.RemoteAddr().String()).
				Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("link method panicked")
			response := &rpc.Response{ServiceMethod: c.header.ServiceMethod, Seq: c.header.Seq, Error: "method panicked"}
			_ = c.WriteResponse(response, struct{}{}) // it closes the connection if it fails
		}
	}()
	defer c.setRead(false) // if the call could not be read
	// Errors of the call are answered; others end the connection.
	_ = server.ServeRequest(c)
}

func (c *serverCall) setRead(next bool) { c.readOnce.Do(func() { c.read <- next }) }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCall) ReadRequestHeader(r *rpc.Request) error {
	err := c.decoder.Decode(r)
	c.header = *r
	return err
}

// ReadRequestBody implements rpc.ServerCodec. It is called once after each header that was read.
func (c *serverCall) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.setRead(true)
	return err
}

// WriteResponse implements rpc.ServerCodec. It closes the connection if it fails, because the
// caller can't find the next response then.
func (c *serverCall) WriteResponse(r *rpc.Response, body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range []any{r, body} {
		if err := c.encoder.Encode(v); err != nil {
			_ = c.Close()
			return fmt.Errorf("encode response: %w", err)
		}
	}
	if err := c.buffer.Flush(); err != nil {
		_ = c.Close()
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}
