package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/upstream"
)

const (
	// askLoadTimeout bounds the exchange in which a target is asked for its load. Targets answer
	// at once.
	askLoadTimeout = 100 * time.Millisecond
	// maxHealthBytes bounds the body of a response of a health path.
	maxHealthBytes = 4 << 10
)

// askLoad asks the target for its load.
func (d *Daemon) askLoad(target mirror.Target) (placement.Load, error) {
	index := d.mirror.View().Index
	if index == nil {
		return placement.Load{}, errors.New("no configuration")
	}
	service, _ := index.Service(target.Service)
	path := service.Connection.HealthPath
	if path == "" {
		return placement.Load{}, errors.Errorf("service %s has no health path", target.Service)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askLoadTimeout)
	defer cancel()
	reply, err := d.pool.Send(ctx, upstream.Call{
		Address: target.Address, Key: target.Name, Method: http.MethodGet, URI: path, Host: target.Address, Header: http.Header{},
	})
	var sendError *upstream.SendError
	if errors.As(err, &sendError) && sendError.Dial {
		return placement.Load{}, fmt.Errorf("ask %s for its load: %w: %w", target.Name, placement.ErrUnreachable, err)
	}
	if err != nil {
		return placement.Load{}, fmt.Errorf("ask %s for its load: %w", target.Name, err)
	}
	defer func() { _ = reply.Close() }()
	_, _ = io.CopyN(io.Discard, reply, maxHealthBytes) // a longer body only costs the connection
	load, err := platform.Wire{}.HealthLoad(reply.Response, target.Name)
	if err == nil && (platform.Wire{}).Answer(reply.Response, "").Leaving && d.table.SetNotice(target.Name, placement.Notice{Leaving: true}) {
		d.Logger.Info().Str("target", target.Name).Msg("target says that it is leaving")
	}
	return load, err
}
