package edge

import (
	"fmt"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"rattanline.example/rattanline/gateway"
	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/socket"
)

// maxHeaderBytes limits request headers before the configured limit is applied.
const maxHeaderBytes = 64 << 10

type server struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// listen opens the listeners. The frontend, which serves callers, is the first.
func (d *Daemon) listen() ([]server, error) {
	s := d.Settings
	handlers := []struct {
		name, address string
		handler       http.Handler
	}{
		{"frontend", s.FrontendAddress, d.conns.stopHeaderTimer(d.handler)},
		{"ready", s.ReadyAddress, platform.ReadyHandler(d.ready)},
		{"overflow", s.OverflowAddress, d.conns.stopHeaderTimer(d.serveIfCurrent(d.handler))},
		{"directory", s.DirectoryAddress, platform.ResolveHandler(d.resolve)},
		{"metrics", d.MetricsAddress, metricsHandler()},
		{"operators", d.LocalAddress, d.localHandler()},
	}
	var servers []server
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		hs := &http.Server{
			Handler: h.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: maxHeaderTimeout,
		}
		listen := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
		switch h.name {
		case "frontend":
			hs.ConnState, hs.ConnContext = d.conns.stateChanged, d.conns.connContext
			listen = d.listenCallers
		case "overflow":
			hs.ConnState, hs.ConnContext = d.conns.stateChanged, d.conns.connContext
			hs.SetKeepAlivesEnabled(false) // the peer passes on one request on each connection
		}
		l, err := listen(h.address)
		if err != nil && h.name == "operators" {
			d.Logger.Warn().Err(err).Msg("operators on this host are not served")
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", h.name, err)
		}
		servers = append(servers, server{h.name, hs, &socket.Listener{Listener: l, Logger: &d.Logger}})
	}
	return servers, nil
}

// listenCallers opens the listener of the frontend.
func (d *Daemon) listenCallers(address string) (net.Listener, error) {
	l, err := listenDeferred(address)
	if err != nil {
		return nil, err
	}
	return &callerListener{
		TCPListener: l, hasCapacity: d.hasConnCapacity,
		shedding: d.shedding,
		decide:   func(data []byte) gateway.Verdict { return d.handler.DecideUnparsed(data, d.verdict) },
		passOn:   d.overflow.passOn,
	}, nil
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
