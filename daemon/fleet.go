package daemon

import (
	"context"
	"fmt"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
)

// fleet implements operator.Fleet for the operators' listener.
type fleet struct{ d *Daemon }

var _ operator.Fleet = fleet{}

// Configuration implements operator.Fleet.
func (f fleet) Configuration() config.Document { return f.d.node.Configuration() }

// Refresh implements operator.Fleet.
func (f fleet) Refresh(ctx context.Context, version uint64) error {
	return f.d.refreshTo(ctx, version, refreshTimeout)
}

// Submit implements operator.Fleet. It fetches the version of an accepted change
// before it returns, so that this daemon doesn't answer with an older version
// afterwards. It logs a warning if that takes longer than refreshAcceptedTimeout.
func (f fleet) Submit(ctx context.Context, r submission.Request) (submission.Outcome, error) {
	outcome, err := f.d.store.Submit(ctx, r)
	if accepted, ok := outcome.(submission.Accepted); ok {
		detail := fmt.Sprintf("version %d, author %s", accepted.Version, r.Author)
		f.d.events.Record(timeline.Event{Kind: "configuration-accepted", Detail: detail})
		if err := f.d.refreshTo(ctx, accepted.Version, refreshAcceptedTimeout); err != nil {
			f.d.Logger.Warn().Err(err).Uint64("version", accepted.Version).Msg("accepted configuration version not yet in force at this daemon")
		}
	}
	return outcome, err
}

// Status implements operator.Fleet.
func (f fleet) Status(ctx context.Context) []operator.HostStatus { return f.d.collector.Status(ctx) }

// Events implements operator.Fleet.
func (f fleet) Events(ctx context.Context, filter timeline.Filter) []timeline.Event {
	return f.d.collector.Events(ctx, filter)
}

// report returns the status of this daemon.
func (d *Daemon) report() operator.StatusReply {
	name, confirmed := d.node.Coordinator()
	if name != "" && !confirmed {
		name += " (unconfirmed)"
	}
	running, queued := d.dispatch.Count()
	return operator.StatusReply{
		Version: d.index.get().Version(), State: d.state(), Incarnation: d.self.Incarnation,
		Coordinator: name, Running: running, Queued: queued,
	}
}

func (d *Daemon) state() string {
	switch {
	case d.stopping.Load():
		return "stopping"
	case d.isolated():
		return "isolated"
	case d.ready() != nil:
		return "starting"
	default:
		return "running"
	}
}

// Targets returns the targets of the configuration in force.
func (d *Daemon) Targets() []config.Target { return d.node.Configuration().Targets }
