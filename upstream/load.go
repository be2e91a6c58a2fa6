package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/limit"
)

const maxLoadReportBytes = 16 << 10

// Load requests the load report of the target.
func (c *Client) Load(ctx context.Context, t config.Target) (limit.Load, error) {
	c.init()
	u, err := targetURL(t, "/load", "")
	if err != nil {
		return limit.Load{}, fmt.Errorf("read load of %s: %w", t.Name, err)
	}
	response, err := c.roundTrip(ctx, Call{
		Address: address(u), Key: t.Name + " " + u.Host, TLS: u.Scheme == "https",
		Method: http.MethodGet, URI: u.RequestURI(), Host: u.Host, Header: http.Header{},
	})
	if err != nil {
		return limit.Load{}, fmt.Errorf("read load of %s: %w", t.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxLoadReportBytes))
	if err != nil {
		return limit.Load{}, fmt.Errorf("read load of %s: %w", t.Name, err)
	}
	if response.StatusCode != http.StatusOK {
		return limit.Load{}, errors.Errorf("read load of %s: status %d", t.Name, response.StatusCode)
	}
	var report struct {
		Running     int    `json:"running"`
		Queued      int    `json:"queued"`
		Incarnation string `json:"incarnation"`
		AgeMs       int64  `json:"age-ms"`
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return limit.Load{}, fmt.Errorf("read load of %s: %w", t.Name, err)
	}
	if report.Running < 0 || report.Queued < 0 || report.AgeMs < 0 {
		return limit.Load{}, errors.Errorf("read load of %s: negative figure", t.Name)
	}
	return limit.Load{
		Running: report.Running, Queued: report.Queued, Incarnation: report.Incarnation,
		Age: time.Duration(report.AgeMs) * time.Millisecond,
	}, nil
}
