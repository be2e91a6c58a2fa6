package standin

import (
	"fmt"
	"maps"
	"net/http"
	"sort"
	"sync"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
)

// HostListFault is the body of POST /admin/fault of the host list.
type HostListFault struct {
	Fault
	// Lag is the age of the list that GET /hosts returns.
	Lag config.Duration `json:"lag"`
}

// HostList stands in for the platform's host list, which GET /hosts returns. The
// list is replaced by Set, or by POST /admin/hosts with a body of the same format.
type HostList struct {
	http.Handler
	injector *injector
	mu       sync.Mutex
	lag      config.Duration
	hosts    map[string]port.HostState
	reported lagged[map[string]port.HostState]
}

type hostsBody struct {
	Hosts []hostBody `json:"hosts"`
}

type hostBody struct {
	Name  string         `json:"name"`
	State port.HostState `json:"state"`
}

// NewHostList returns an empty host list.
func NewHostList() *HostList {
	h := &HostList{injector: newInjector()}
	h.Set(map[string]port.HostState{})
	m := http.NewServeMux()
	m.HandleFunc("GET /hosts", h.serve)
	m.HandleFunc("POST /admin/hosts", h.replace)
	m.HandleFunc("/admin/fault", faultHandler(h.Fault, h.SetFault))
	h.Handler = m
	return h
}

// Set replaces the list.
func (h *HostList) Set(hosts map[string]port.HostState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts = maps.Clone(hosts)
	h.reported.set(time.Now(), h.hosts)
}

// Fault returns the faults in force.
func (h *HostList) Fault() HostListFault {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HostListFault{Fault: h.injector.get(), Lag: h.lag}
}

// SetFault replaces the faults.
func (h *HostList) SetFault(f HostListFault) error {
	if err := h.injector.set(f.Fault); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = f.Lag
	h.reported.setLag(f.Lag.Std())
	return nil
}

func (h *HostList) serve(w http.ResponseWriter, r *http.Request) {
	if !h.injector.before(w, r) {
		return
	}
	hosts, _ := h.reported.get(time.Now())
	b := hostsBody{Hosts: []hostBody{}}
	for n, s := range hosts {
		b.Hosts = append(b.Hosts, hostBody{n, s})
	}
	sort.Slice(b.Hosts, func(i, j int) bool { return b.Hosts[i].Name < b.Hosts[j].Name })
	writeJSON(w, http.StatusOK, b)
}

func (h *HostList) replace(w http.ResponseWriter, r *http.Request) {
	var b hostsBody
	if !readJSON(w, r, &b) {
		return
	}
	hosts := map[string]port.HostState{}
	for _, x := range b.Hosts {
		if x.State != port.HostLive && x.State != port.HostLeaving {
			http.Error(w, fmt.Sprintf("host %s: unknown state %q", x.Name, x.State), http.StatusBadRequest)
			return
		}
		hosts[x.Name] = x.State
	}
	h.Set(hosts)
	writeJSON(w, http.StatusOK, b)
}
