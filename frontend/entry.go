package frontend

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
)

// entryTTL is the time in seconds for which callers may keep the entries.
const entryTTL = 10

// Entry is a daemon that callers may connect to.
type Entry struct {
	URL    string `json:"url"`
	Weight int    `json:"weight"`
	// Distance orders failure domains; entries of the same distance are shuffled.
	Distance int `json:"-"`
}

func (h *Handler) serveEntries(w http.ResponseWriter, _ *http.Request) {
	entries := slices.Clone(h.Entries())
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	slices.SortStableFunc(entries, func(x, y Entry) int { return x.Distance - y.Distance })
	if entries == nil {
		entries = []Entry{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age=10")
	_ = json.NewEncoder(w).Encode(struct {
		Entries []Entry `json:"entries"`
		TTL     int     `json:"ttl-seconds"`
	}{entries, entryTTL})
}
