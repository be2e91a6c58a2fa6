package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/simulation"
)

// Guards against a step that is written on conditions of an earlier era of the store, which may hold by
// chance in the later one.
func TestStepsWaitForReturnedStore(t *testing.T) {
	order := port.Entry{Key: platform.RolloutKey("desk"), Value: []byte(`{"service":"desk","to":"v2","duration_s":12}`), Revision: 70}
	m := &mirror.Mirror{Decode: platform.Decode, DecodeRemoval: platform.DecodeRemoval}
	store := simulation.NewKeyValue()
	defer store.Close()
	c := &Controller{
		Plan: Plan{ExposureShare: 0.1}, MirrorAge: func() time.Duration { return 0 }, OrderKey: platform.RolloutKey,
		Daemons: func() []string { return []string{"d0"} }, Store: &simulation.Client{Store: store, Name: "d0"},
	}
	update := func(era port.Era, revision int64, entries ...port.Entry) *service {
		m.Adopt(mirror.Content{Position: port.Position{Era: era, Revision: revision}, Entries: append([]port.Entry{}, entries...)}, 0)
		c.Update(m.View())
		return c.all()["desk"]
	}
	qt.Assert(t, c.commit(t.Context(), update(1, 80, order)), qt.Equals, errChanged) // the store in this test is empty
	s := update(2, 60)
	qt.Assert(t, s.order.To, qt.Equals, "v2")
	qt.Assert(t, c.commit(t.Context(), s), qt.Equals, errNotShown)
	order.Revision = 61
	s = update(2, 61, order)
	qt.Assert(t, s.era, qt.Equals, port.Era(2))
	qt.Assert(t, c.commit(t.Context(), s), qt.Equals, errChanged)
}
