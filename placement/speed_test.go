package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/port"
)

// answer records a response to a prompt of the size at an idle engine of the table.
func answer(t *Table, work float64, first time.Duration, result port.AttemptResult) {
	t.Ended("t0", port.Attempt{Result: result, FirstByte: first}, Choice{Work: work, Wait: t.speed("engine").duration(work)})
}

// Guards against waits that are computed with the speed of other engines, so that requests are
// refused while these engines have room, or admitted where they will be late.
func TestSpeedIsLearned(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		delay     time.Duration
	}{{85_000, 30 * time.Millisecond}, {38_000, 100 * time.Millisecond}, {12_000, 250 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.perSecond), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			table := newTable("d0", []string{"d0"}, 1)
			for range 1500 {
				work := 2000 * math.Exp(1.2*random.NormFloat64())
				exact := c.delay.Seconds() + work/c.perSecond
				answer(table, work, time.Duration(exact*(0.6+0.8*random.Float64())*float64(time.Second)), port.Succeeded)
			}
			s := table.speed("engine")
			qt.Check(t, math.Abs(s.perSecond/c.perSecond-1) < 0.2, qt.IsTrue, qt.Commentf("%.0f tokens a second", s.perSecond))
			qt.Check(t, (s.delay-c.delay).Abs() < 40*time.Millisecond, qt.IsTrue, qt.Commentf("%s", s.delay))
		})
	}
}

// Guards against a speed that attempts change which don't show it.
func TestSpeedIgnoresOtherAttempts(t *testing.T) {
	for name, ended := range map[string]port.Attempt{
		"failed":       {Result: port.Failed, FirstByte: time.Second},
		"no first":     {Result: port.Succeeded},
		"broke off":    {Result: port.Crashed, FirstByte: time.Second},
		"caller left":  {Result: port.Canceled, Total: time.Second},
		"not accepted": {Result: port.Overloaded, FirstByte: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable("d0", []string{"d0"}, 1)
			table.Ended("t0", ended, Choice{Work: 1000})
			qt.Check(t, *table.speed("engine"), qt.Equals, *newEngineSpeed())
		})
	}
	t.Run("cold", func(t *testing.T) {
		table := newTable("d0", []string{"d0"}, 1)
		table.Ended("t0", port.Attempt{Result: port.Succeeded, FirstByte: time.Second}, Choice{Work: 1000, Cold: true})
		qt.Check(t, *table.speed("engine"), qt.Equals, *newEngineSpeed())
	})
}

// Guards against one faulty engine, or prompts of one size, that make the learned speed
// useless.
func TestSpeedStaysPlausible(t *testing.T) {
	t.Run("hanging engine", func(t *testing.T) {
		table := newTable("d0", []string{"d0"}, 1)
		for i := range 600 {
			first := 100*time.Millisecond + table.speed("engine").duration(2000)
			if i%20 == 0 {
				first = 20 * time.Second
			}
			answer(table, 2000, first, port.Succeeded)
		}
		s := table.speed("engine")
		expected := 100*time.Millisecond + newEngineSpeed().duration(2000)
		got := s.delay + s.duration(2000)
		qt.Check(t, got < 2*expected, qt.IsTrue, qt.Commentf("%s, expected %s", got, expected))
	})
	t.Run("equal prompts", func(t *testing.T) {
		table := newTable("d0", []string{"d0"}, 1)
		for range 2000 {
			answer(table, 1000, 60*time.Millisecond, port.Succeeded)
		}
		s := table.speed("engine")
		qt.Check(t, (s.delay+s.duration(1000)-60*time.Millisecond).Abs() < 5*time.Millisecond, qt.IsTrue, qt.Commentf("%s", s.delay+s.duration(1000)))
		qt.Check(t, s.perSecond >= minSpeed && s.perSecond <= maxSpeed, qt.IsTrue)
	})
}
