package fairness

import (
	"cmp"
	"slices"
	"time"
)

const (
	// WindowSeconds is the length of a window in seconds.
	WindowSeconds = 6
	// stepsPerSecond is how many windows begin in a second.
	stepsPerSecond = 2
	step           = time.Second / stepsPerSecond
	// excludedRequests is how many of an account's largest requests a window allows for:
	// work comes in whole requests.
	excludedRequests = 3
)

// Window is what an account asked for and got in WindowSeconds in each of which one of
// its requests was refused or waited longer than its latency aim.
type Window struct {
	Account string
	Start   time.Duration
	// Asked, Begun and Best are tokens: those of the requests that arrived, those of the
	// requests that targets began to answer, and those that targets began for the
	// account that received the most.
	Asked, Begun, Best float64
	BestAccount        string
	// Due is the lesser of what the account asked for and what BestAccount received,
	// second by second, less the account's largest requests.
	Due float64
	// NotRun is the number of requests that did not run, by reason.
	NotRun map[string]int
}

// Ratio returns Begun as a multiple of Due.
func (w Window) Ratio() float64 { return w.Begun / w.Due }

// Meter collects requests. The zero value is ready for use.
type Meter struct {
	accounts map[string]*series
	last     int // index of the last step
	first    int
	any      bool
}

// series is what happened to the requests of one account, by step.
type series struct {
	asked, begun map[int]float64
	waited       map[int]bool
	notRun       map[int]map[string]int
	largest      map[int]float64 // work of the largest request that arrived
}

// Add adds a request. Requests without work, such as those to plain services, are
// ignored.
func (m *Meter) Add(q Request) {
	if q.Account == "" || q.Work <= 0 && q.Began {
		return
	}
	s := m.account(q.Account)
	at := m.index(q.Arrived)
	s.asked[at] += q.Work
	s.largest[at] = max(s.largest[at], q.Work/float64(max(q.Count, 1)))
	end := q.Ended
	if q.Began {
		end = q.BeganAt
		s.begun[m.index(end)] += q.Work
	} else {
		ended := m.index(q.Ended)
		s.waited[ended] = true
		if s.notRun[ended] == nil {
			s.notRun[ended] = map[string]int{}
		}
		s.notRun[ended][q.Reason] += q.Count
	}
	if q.Aim > 0 {
		for late := q.Arrived + q.Aim; late < end; late += step {
			s.waited[m.index(late)] = true
		}
	}
}

func (m *Meter) account(name string) *series {
	if m.accounts == nil {
		m.accounts = map[string]*series{}
	}
	s := m.accounts[name]
	if s == nil {
		s = &series{
			asked: map[int]float64{}, begun: map[int]float64{}, waited: map[int]bool{},
			notRun: map[int]map[string]int{}, largest: map[int]float64{},
		}
		m.accounts[name] = s
	}
	return s
}

// index returns the step of the time.
func (m *Meter) index(at time.Duration) int {
	i := int(at / step)
	if at < 0 && at%step != 0 {
		i--
	}
	if !m.any {
		m.first, m.last, m.any = i, i, true
	}
	m.first, m.last = min(m.first, i), max(m.last, i)
	return i
}

// Windows returns the windows of all accounts, lowest ratio first.
func (m *Meter) Windows() []Window {
	var windows []Window
	for start := m.first; start+WindowSeconds*stepsPerSecond-1 <= m.last; start++ {
		best := m.bestServed(start)
		for name, s := range m.accounts {
			if w, ok := s.window(start, m.accounts[best]); ok {
				w.Account, w.BestAccount, w.Start = name, best, time.Duration(start)*step
				windows = append(windows, w)
			}
		}
	}
	slices.SortFunc(windows, func(a, b Window) int {
		return cmp.Or(cmp.Compare(a.Ratio(), b.Ratio()), cmp.Compare(a.Start, b.Start), cmp.Compare(a.Account, b.Account))
	})
	return windows
}

// bestServed returns the account for which targets began the most work in the window.
func (m *Meter) bestServed(start int) string {
	best, most := "", -1.0
	for name, s := range m.accounts {
		begun := 0.0
		for i := range WindowSeconds * stepsPerSecond {
			begun += s.begun[start+i]
		}
		if begun > most || begun == most && name < best {
			best, most = name, begun
		}
	}
	return best
}

// window returns the window that begins at the step. It reports false if the account did
// not have to wait in each of its seconds, or is due nothing.
func (s *series) window(start int, best *series) (Window, bool) {
	w := Window{NotRun: map[string]int{}}
	largest := 0.0
	for second := range WindowSeconds {
		asked, begun, bestBegun, waited := 0.0, 0.0, 0.0, false
		for i := start + second*stepsPerSecond; i < start+(second+1)*stepsPerSecond; i++ {
			asked += s.asked[i]
			begun += s.begun[i]
			bestBegun += best.begun[i]
			waited = waited || s.waited[i]
			largest = max(largest, s.largest[i])
			for reason, n := range s.notRun[i] {
				w.NotRun[reason] += n
			}
		}
		if !waited {
			return Window{}, false
		}
		w.Asked += asked
		w.Begun += begun
		w.Best += bestBegun
		w.Due += min(asked, bestBegun)
	}
	w.Due -= excludedRequests * largest
	return w, w.Due > 0
}

// WorstByAccount returns the first window of each account.
func WorstByAccount(windows []Window) []Window {
	seen := map[string]bool{}
	var worst []Window
	for _, w := range windows {
		if !seen[w.Account] {
			seen[w.Account] = true
			worst = append(worst, w)
		}
	}
	return worst
}
