package edge

import (
	"context"
	"math"
	"time"

	"rattanline.example/rattanline/exchange"
	"rattanline.example/rattanline/gateway"
)

// loadLogInterval is the interval between two log lines on what the daemon did.
const loadLogInterval = time.Second

// work is what this process has done since its start.
type work struct {
	gateway.Counts
	callerConns, targetConns uint64
	processorTime            time.Duration
}

func (d *Daemon) workDone() work {
	return work{
		Counts: gateway.CountsNow(), callerConns: callerConnections.Get(), targetConns: openedConnections.Get(),
		processorTime: d.overload.processorTime(),
	}
}

// logLoad logs what the daemon did in each second with requests, and the processor
// time that it took.
func (d *Daemon) logLoad(ctx context.Context) error {
	at, last := time.Now(), d.workDone()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(loadLogInterval):
		}
		now, done := time.Now(), d.workDone()
		if done.Requests > last.Requests {
			l := d.overload.load()
			d.Logger.Info().Dur("span", now.Sub(at)).Dur("processor-time", done.processorTime-last.processorTime).
				Uint64("requests", done.Requests-last.Requests).Uint64("refused-overloaded", done.Refused-last.Refused).
				Uint64("passed-on", done.PassedOn-last.PassedOn).Float64("servable", math.Round(d.overload.pace.limit())).
				Uint64("events", done.Events-last.Events).Uint64("caller-connections", done.callerConns-last.callerConns).
				Uint64("target-connections", done.targetConns-last.targetConns).
				Float64("room", roundedCores(d.room())).Float64("processor-use", l.utilization).Dur("lag", l.lag).
				Float64("refused-fraction", d.refusedFraction()).Int64("active", d.handler.Active()).Msg("load")
		}
		at, last = now, done
	}
	return nil
}

// roundedCores returns the cores of the room with two decimal places.
func roundedCores(r exchange.Room) float64 {
	cores, _ := r.Cores()
	return math.Round(cores*100) / 100
}
