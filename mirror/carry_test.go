package mirror

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

// returned returns a mirror that holds the entries before, from which then some were removed, and
// enters an era in which the service shows others.
func returned(before []port.Entry, removals []port.Event, shown ...port.Entry) *Mirror {
	m := newMirror(nil)
	m.Adopt(Content{Position: in(1, 80), Entries: before}, 0)
	m.applyUpdate(m.pollUpdate(removals, m.View().Position), false)
	m.Adopt(Content{Position: in(2, 60), Entries: append([]port.Entry{}, shown...)}, 0)
	return m
}

// Guards against views that go back to what the service held at its copy, or ignore what was written
// after its return.
func TestCarriedOverReturn(t *testing.T) {
	ready, leaving := entry("target/a", "x 7", 50), entry("target/a", "x 7 leaving", 70)
	evacuated := entry("evacuated/zone", "", 70)
	for name, test := range map[string]struct {
		before   []port.Entry
		removals []port.Event
		shown    []port.Entry
		// want and wantSettled describe the view right after the return and settleTime later.
		want, wantSettled string
	}{
		"left":                       {before: []port.Entry{leaving}, shown: []port.Entry{ready}, want: "a leaving", wantSettled: "a leaving"},
		"left and removed":           {before: []port.Entry{leaving}, removals: []port.Event{removed("target/a", 75)}, shown: []port.Entry{ready}, want: "a removed", wantSettled: "a removed"},
		"removed":                    {before: []port.Entry{ready}, removals: []port.Event{removed("target/a", 75)}, shown: []port.Entry{ready}, want: "a removed", wantSettled: "a"},
		"registered again":           {before: []port.Entry{ready}, removals: []port.Event{removed("target/a", 55)}, shown: []port.Entry{entry("target/a", "x 7", 58)}, want: "a", wantSettled: "a"},
		"leaves after the return":    {before: []port.Entry{entry("target/a", "x 7", 70)}, shown: []port.Entry{entry("target/a", "x 7 leaving", 60)}, want: "a leaving", wantSettled: "a leaving"},
		"restarted before":           {before: []port.Entry{entry("target/a", "x 9", 70)}, shown: []port.Entry{entry("target/a", "x 7 leaving", 50)}, want: "a", wantSettled: "a leaving"},
		"restarted after":            {before: []port.Entry{leaving}, shown: []port.Entry{entry("target/a", "x 9", 60)}, want: "a", wantSettled: "a"},
		"newer than the copy":        {before: []port.Entry{entry("target/a", "x 7", 70)}, want: "a", wantSettled: "a removed"},
		"evacuated":                  {before: []port.Entry{evacuated}, want: "zone evacuated", wantSettled: ""},
		"evacuation ended":           {before: []port.Entry{evacuated}, removals: []port.Event{removed("evacuated/zone", 75)}, shown: []port.Entry{evacuated}, want: "", wantSettled: "zone evacuated"},
		"evacuated after the return": {shown: []port.Entry{evacuated}, want: "zone evacuated", wantSettled: "zone evacuated"},
	} {
		t.Run(name, func(t *testing.T) {
			m := returned(append([]port.Entry{entry("config", "1", 5)}, test.before...), test.removals, test.shown...)
			qt.Check(t, described(m.View()), qt.Equals, test.want)
			qt.Check(t, described(settled(m)), qt.Equals, test.wantSettled)
		})
	}
	t.Run("changed after the return", func(t *testing.T) {
		m := returned([]port.Entry{entry("target/a", "x 7", 70), entry("target/b", "x 7 leaving", 70)}, nil, entry("target/b", "x 7", 50))
		m.applyUpdate(m.pollUpdate([]port.Event{put("target/a", "x 7 leaving", 61), put("target/b", "x 7", 62)}, m.View().Position), false)
		qt.Check(t, described(m.View()), qt.Equals, "a leaving b leaving")
		m.applyUpdate(m.pollUpdate([]port.Event{removed("target/a", 63), put("target/b", "x 8", 64)}, m.View().Position), false)
		qt.Check(t, described(m.View()), qt.Equals, "a removed b")
	})
}

// described returns the state of the targets and evacuations of a view.
func described(v *View) string {
	var all []string
	for name, target := range v.Targets {
		switch {
		case target.Removed != 0:
			name += " removed"
		case target.Leaving:
			name += " leaving"
		}
		all = append(all, name)
	}
	for domain := range v.Evacuated {
		all = append(all, domain+" evacuated")
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// lifeOfTarget is what a target writes, and how far it is.
type lifeOfTarget struct {
	born  int64
	stage int
}

// Stages of a start of a target.
const (
	targetReady = iota
	targetLeaving
	targetGone
)

func (l lifeOfTarget) compare(o lifeOfTarget) int {
	return cmp.Or(cmp.Compare(l.born, o.born), cmp.Compare(l.stage, o.stage))
}

// next returns the life after the next step: a target leaves, is gone, and starts again.
func (l lifeOfTarget) next() lifeOfTarget {
	if l.stage == targetGone {
		return lifeOfTarget{born: l.born + 1}
	}
	return lifeOfTarget{born: l.born, stage: l.stage + 1}
}

func (l lifeOfTarget) event(key string, revision int64) port.Event {
	value := fmt.Sprint("x ", l.born)
	if l.stage == targetLeaving {
		value += " leaving"
	}
	e := put(key, value, revision)
	e.Deleted = l.stage == targetGone
	return e
}

// lifeIn returns the life of a target that the view shows.
func lifeIn(v *View, name string) lifeOfTarget {
	t, ok := v.Targets[name]
	switch {
	case !ok:
		return lifeOfTarget{}
	case t.Removed != 0:
		return lifeOfTarget{t.StartTime, targetGone}
	case t.Leaving:
		return lifeOfTarget{t.StartTime, targetLeaving}
	}
	return lifeOfTarget{t.StartTime, targetReady}
}

// Guards against daemons that send to a target again which they knew to be leaving or gone, whatever the
// order of its writes, returns from copies, and reads.
func TestTargetsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b"}
		lives := map[string]lifeOfTarget{"a": {born: 1}, "b": {born: 1}}
		s := &copiedService{era: 1, lost: map[port.Era]history{}, during: func() {}}
		var readers []*serviceReader
		var seen []map[string]lifeOfTarget
		for range 2 {
			r := &serviceReader{Mirror: newMirror(nil), service: s}
			r.Poller = r
			readers, seen = append(readers, r), append(seen, map[string]lifeOfTarget{})
		}
		write := func(name string) {
			s.now = append(s.now, lives[name].event("target/"+name, int64(len(s.now)+1)))
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "target")
				lives[name] = lives[name].next()
				write(name)
			},
			"write again": func(t *rapid.T) { write(rapid.SampledFrom(names).Draw(t, "target")) },
			"come back":   func(t *rapid.T) { s.comeBack(rapid.IntRange(0, len(s.now)).Draw(t, "copy")) },
			"read":        func(t *rapid.T) { rapid.SampledFrom(readers).Draw(t, "reader").readOnce() },
			"read again":  func(t *rapid.T) { rapid.SampledFrom(readers).Draw(t, "reader").readOnce() },
			"": func(t *rapid.T) {
				for i, r := range readers {
					for _, name := range names {
						got := lifeIn(r.View(), name)
						if got.compare(seen[i][name]) < 0 {
							t.Fatalf("reader %d shows %s as %+v after %+v", i, name, got, seen[i][name])
						}
						seen[i][name] = got
					}
				}
			},
		})
	})
}

// Guards against a daemon that started or lagged behind while the service came back from a copy, and
// sends to a target that its peers know to be leaving or gone; and against older knowledge of a peer
// that replaces newer content.
func TestCarriedByPeers(t *testing.T) {
	leaving, gone := entry("target/a", "x 7 leaving", 70), entry("target/a", "x 7", 75)
	for name, test := range map[string]struct {
		carried Carried
		shown   []port.Entry
		later   []port.Event
		want    string
	}{
		"leaving":             {carried: Carried{Entry: leaving, Shown: 50}, shown: []port.Entry{entry("target/a", "x 7", 50)}, want: "a leaving"},
		"gone":                {carried: Carried{Entry: gone, Removed: true, Shown: 50}, shown: []port.Entry{entry("target/a", "x 7", 50)}, want: "a removed"},
		"absent":              {carried: Carried{Entry: leaving}, want: "a leaving"},
		"changed since":       {carried: Carried{Entry: leaving, Shown: 50}, shown: []port.Entry{entry("target/a", "x 9", 58)}, want: "a"},
		"changed afterwards":  {carried: Carried{Entry: leaving, Shown: 50}, shown: []port.Entry{entry("target/a", "x 7", 50)}, later: []port.Event{put("target/a", "x 9", 61)}, want: "a"},
		"unreadable":          {carried: Carried{Entry: entry("target/a", "spoiled", 70), Shown: 50}, shown: []port.Entry{entry("target/a", "x 7", 50)}, want: "a"},
		"of a key of no kind": {carried: Carried{Entry: entry("other", "x", 70)}, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMirror(nil)
			m.Adopt(Content{Position: in(2, 60), Entries: append([]port.Entry{}, test.shown...)}, 0)
			test.carried.Left = settleTime
			m.Adopt(Content{Position: in(2, 60), Carried: []Carried{test.carried}}, 0)
			m.applyUpdate(m.pollUpdate(test.later, m.View().Position), false)
			qt.Check(t, described(m.View()), qt.Equals, test.want)
		})
	}
	t.Run("handed on", func(t *testing.T) {
		from := returned([]port.Entry{leaving}, nil, entry("target/a", "x 7", 50))
		to := newMirror(nil)
		to.Adopt(Content{Position: in(2, 60), Entries: from.View().Entries(), Carried: from.View().Carried(clock.Now())}, 0)
		qt.Check(t, described(to.View()), qt.Equals, "a leaving")
		left := to.View().Carried(clock.Now())[0].Left
		qt.Check(t, left > 0 && left <= removalRetention, qt.IsTrue, qt.Commentf("%s", left))
	})
	t.Run("after the content has settled", func(t *testing.T) {
		m := newMirror(nil)
		m.Adopt(Content{Position: in(2, 60), Entries: []port.Entry{entry("target/a", "x 7", 50)}}, 0)
		m.applyUpdate(func(v *View, now clock.Instant) []Record {
			v.settlesAt = now
			return nil
		}, false)
		m.Adopt(Content{Position: in(2, 60), Carried: []Carried{{Entry: leaving, Shown: 50, Left: settleTime}}}, 0)
		qt.Check(t, described(m.View()), qt.Equals, "a")
	})
}
