package timeline_test

import (
	"bytes"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/timeline"
)

func sequences(events []timeline.Event) []uint64 {
	var s []uint64
	for _, e := range events {
		s = append(s, e.Sequence)
	}
	return s
}

// Guards against a ring that loses recent events or returns them out of order.
func TestBuffer(t *testing.T) {
	for _, o := range []struct {
		name    string
		records int
		want    []uint64
	}{
		{"empty", 0, nil},
		{"partly filled", 2, []uint64{1, 2}},
		{"full", 3, []uint64{1, 2, 3}},
		{"one above capacity", 4, []uint64{2, 3, 4}},
		{"wrapped twice", 8, []uint64{6, 7, 8}},
	} {
		t.Run(o.name, func(t *testing.T) {
			c := qt.New(t)
			b := &timeline.Buffer{Daemon: "d1", Host: "h1", FailureDomain: "east", Size: 3}
			for range o.records {
				b.Record(timeline.Event{Kind: "slot-granted", Daemon: "other"})
			}
			events := b.Events(timeline.Filter{})
			c.Assert(sequences(events), qt.DeepEquals, o.want)
			for _, e := range events {
				c.Assert([]string{e.Daemon, e.Host, e.FailureDomain}, qt.DeepEquals, []string{"d1", "h1", "east"})
			}
		})
	}
}

// Guards against lost events when many goroutines record.
func TestConcurrentRecords(t *testing.T) {
	c := qt.New(t)
	b := &timeline.Buffer{}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				b.Record(timeline.Event{})
				b.Events(timeline.Filter{Request: "none"})
			}
		})
	}
	group.Wait()
	c.Assert(b.Events(timeline.Filter{}), qt.HasLen, 800)
}

// Guards against filters that return events that they should exclude.
func TestFilter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := &timeline.Buffer{Host: "h1"}
		b.Record(timeline.Event{Request: "r1", Account: "a", Target: "t1"})
		time.Sleep(time.Second)
		b.Record(timeline.Event{Request: "r2", Account: "a", Target: "t2"})
		for _, o := range []struct {
			filter timeline.Filter
			want   []uint64
		}{
			{timeline.Filter{Account: "a"}, []uint64{1, 2}},
			{timeline.Filter{Request: "r1"}, []uint64{1}},
			{timeline.Filter{Request: "r1", Target: "t2"}, nil},
			{timeline.Filter{Host: "h2"}, nil},
			{timeline.Filter{Host: "h1", Since: time.Now()}, []uint64{2}},
		} {
			c.Check(sequences(b.Events(o.filter)), qt.DeepEquals, o.want)
		}
	})
}

// Guards against an order of events that depends on which daemon responded first,
// and against output that can't be read again.
func TestMergeAndOutput(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 12, 4, 8, 0, 0, 5000, time.UTC)
	x := []timeline.Event{{Time: at, Sequence: 1, Daemon: "d2", Kind: "k"}, {Time: at, Sequence: 2, Daemon: "d2", Kind: "k"}}
	y := []timeline.Event{{Time: at, Sequence: 9, Daemon: "d1", Kind: "request-refused", Account: "a", Detail: "queue full"}, {Time: at.Add(-1), Daemon: "d3", Kind: "k"}}
	merged := timeline.Merge(x, y)
	c.Assert(sequences(merged), qt.DeepEquals, []uint64{0, 9, 1, 2})
	c.Assert(timeline.Merge(y, x), qt.DeepEquals, merged)

	var text, lines bytes.Buffer
	c.Assert(timeline.WriteText(&text, merged[1:2]), qt.IsNil)
	c.Assert(text.String(), qt.Equals,
		"2026-12-04T08:00:00.000005Z d1           request-refused          account=\"a\" detail=\"queue full\"\n")
	c.Assert(timeline.WriteJSON(&lines, merged), qt.IsNil)
	read, err := timeline.ReadJSON(&lines)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, merged)
}
