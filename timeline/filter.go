package timeline

import "time"

// Filter selects events. An event must match all fields that are not empty.
type Filter struct {
	Request string
	Account string
	Target  string
	Host    string
	Since   time.Time // inclusive
}

// Match reports whether the event matches the filter.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) &&
		matches(f.Account, e.Account) &&
		matches(f.Target, e.Target) &&
		matches(f.Host, e.Host) &&
		!e.Time.Before(f.Since)
}

func matches(want, value string) bool { return want == "" || want == value }
