package etcd

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
)

// Watch calls handle for each change after the given revision of a key with the
// prefix. It returns when ctx ends, the stream breaks or the service cancels the
// watch, and always with an error. The error wraps port.ErrCompacted if the revision
// was compacted.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, handle func(port.Event)) error {
	c.counter("calls", "watch").Inc()
	err := c.watch(ctx, prefix, after, handle)
	if ctx.Err() != nil {
		return fmt.Errorf("watch: %w", ctx.Err())
	}
	c.counter("call_failures", "watch").Inc()
	return fmt.Errorf("watch: %w", err)
}

func (c *Client) watch(ctx context.Context, prefix string, after int64, handle func(port.Event)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	touch, stop := idleTimer(c.WatchIdleTimeout, cancel)
	defer stop()
	request, sent, err := c.request(ctx, "v3/watch", watchRequest{Create: watchCreate{
		Key: encode(prefix), RangeEnd: encode(prefixEnd(prefix)), StartRevision: after + 1, ProgressNotify: true,
	}})
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		if !sent.Load() {
			c.endpoint.Add(1)
		}
		return fmt.Errorf("%w: %w", port.ErrUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return fmt.Errorf("%w: status %d", port.ErrUnavailable, response.StatusCode)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var reply watchReply
		if err := decoder.Decode(&reply); err != nil {
			return fmt.Errorf("%w: read stream: %w", port.ErrUnavailable, err)
		}
		touch()
		if err := reply.deliver(handle); err != nil {
			return err
		}
	}
}

// deliver calls handle for the events of the reply, or returns the error that ends
// the watch.
func (r watchReply) deliver(handle func(port.Event)) error {
	if r.Error != nil {
		return errors.New(r.Error.Message)
	}
	if r.Result.CompactRevision > 0 {
		return fmt.Errorf("%w: oldest available revision is %d", port.ErrCompacted, r.Result.CompactRevision)
	}
	if r.Result.Canceled {
		return errors.New("canceled by the service: " + r.Result.CancelReason)
	}
	for _, e := range r.Result.Events {
		handle(port.Event{Entry: e.KV.entry(), Deleted: e.Type == "DELETE"})
	}
	return nil
}
