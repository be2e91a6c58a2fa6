package timeline

import "time"

// Filter selects events. Empty fields let every event through.
type Filter struct {
	Request string
	Account string
	Target  string
	Host    string
	Since   time.Time
}

// Match tells whether the filter lets the event through.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) &&
		matches(f.Account, e.Account) &&
		matches(f.Target, e.Target) &&
		matches(f.Host, e.Host) &&
		!e.Time.Before(f.Since)
}

func matches(want, value string) bool { return want == "" || want == value }
