package frontend

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// defaultEntriesTTL is how long callers may cache the entries.
const defaultEntriesTTL = 10 * time.Second

// Entry is the address of a daemon that callers may connect to.
type Entry struct {
	URL    string `json:"url"`
	Weight int    `json:"weight"`
	// Distance sorts entries by failure domain, nearest first; entries at the same
	// distance are shuffled.
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
	ttl := h.EntriesTTL
	if ttl == 0 {
		ttl = defaultEntriesTTL
	}
	seconds := int(ttl / time.Second)
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", seconds))
	_ = json.NewEncoder(w).Encode(struct {
		Entries []Entry `json:"entries"`
		TTL     int     `json:"ttl-seconds"`
	}{entries, seconds})
}
