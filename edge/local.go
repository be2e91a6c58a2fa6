package edge

import (
	"encoding/json"
	"net/http"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/request"
)

// quarantinePath is the path of the local listener under which operators see and end the
// quarantine of prompt segments.
const quarantinePath = "/quarantine"

// localHandler serves operators on the host itself. GET quarantinePath lists the suspect prompt
// segments, and DELETE with the parameters model and segment ends the quarantine of one in the
// whole fleet. GET rolloutsPath lists the roll-outs of versions.
func (d *Daemon) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+quarantinePath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(quarantineList{d.segments.Status(clock.Now())}) // ignored: the operator may have disconnected
	})
	mux.HandleFunc("DELETE "+quarantinePath, func(w http.ResponseWriter, r *http.Request) {
		segment := request.Segment{Model: r.FormValue("model"), ID: r.FormValue("segment")}
		lifted := d.segments.Lift(clock.Now(), segment)
		d.Logger.Warn().Str("segment", segment.ID).Str("model", segment.Model).Bool("lifted", lifted).Str("operator", r.RemoteAddr).
			Msg("operator asked to end the quarantine of a prompt segment")
		if !lifted {
			w.WriteHeader(http.StatusNotFound)
		}
	})
	mux.HandleFunc("GET "+rolloutsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(rolloutList{d.rollouts.Summaries()}) // ignored: the operator may have disconnected
	})
	return mux
}

// quarantineList is the body of the answer to GET quarantinePath.
type quarantineList struct {
	Segments []quarantine.SegmentStatus `json:"segments"`
}
