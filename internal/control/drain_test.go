package control_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Guards against a drain that is undone or doubled by the order of events: sent again after its confirmation was lost,
// withdrawn and sent again, or followed by a restart from a snapshot.
func TestDrainsInTheOrderOfTheLog(t *testing.T) {
	drain, end := control.DrainRequest{DataCentre: "a", Drain: true}, control.DrainRequest{DataCentre: "a"}
	other := control.DrainRequest{DataCentre: "b", Drain: true}
	cases := map[string]struct {
		orders  []control.DrainRequest
		changed int
		drained []string
	}{
		"once":                       {[]control.DrainRequest{drain}, 1, []string{"a"}},
		"sent again":                 {[]control.DrainRequest{drain, drain, drain}, 1, []string{"a"}},
		"withdrawn":                  {[]control.DrainRequest{drain, end, end}, 2, nil},
		"withdrawn before it came":   {[]control.DrainRequest{end}, 0, nil},
		"again after the end":        {[]control.DrainRequest{drain, end, drain}, 3, []string{"a"}},
		"of two data centres":        {[]control.DrainRequest{drain, other}, 2, []string{"a", "b"}},
		"two of which one has ended": {[]control.DrainRequest{drain, other, end}, 3, []string{"b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := control.NewMachine()
			changed := 0
			for i, order := range c.orders {
				data, err := control.Command{DrainDataCentre: &order}.Encode()
				is.NoErr(err)
				reply := m.Apply(uint64(i), data).(control.DrainReply)
				if reply.Changed {
					changed++
				}
				is.Equal(reply.Revision, uint64(changed))
			}
			is.Equal(changed, c.changed)
			data, err := m.Snapshot()()
			is.NoErr(err)
			restored := control.NewMachine()
			is.NoErr(restored.Restore(data))
			for _, dataCentre := range []string{"a", "b"} {
				want := false
				for _, drained := range c.drained {
					want = want || drained == dataCentre
				}
				is.Equal(m.Configuration().Drained("e", dataCentre), want)
				is.Equal(restored.Configuration().Drained("e", dataCentre), want)
			}
		})
	}
}

// Guards against a withdrawal that an instance accepted before the data centre was drained once more, and that arrives
// after it: it undid the newer order, which was acknowledged. Orders about anything else do not hold it up.
func TestLateDrainOrder(t *testing.T) {
	since := func(revision uint64) *uint64 { return &revision }
	drain := control.DrainRequest{DataCentre: "a", Drain: true}
	end := control.DrainRequest{DataCentre: "a"}
	other := control.DrainRequest{DataCentre: "b", Drain: true}
	again := slices.Repeat([]control.DrainRequest{drain, end}, 1024)
	cases := map[string]struct {
		before     []control.DrainRequest
		late       control.DrainRequest
		superseded bool
		drained    bool
	}{
		"accepted before a newer drain":       {[]control.DrainRequest{drain, end, drain}, control.DrainRequest{DataCentre: "a", Since: since(1)}, true, true},
		"accepted after it":                   {[]control.DrainRequest{drain, end, drain}, control.DrainRequest{DataCentre: "a", Since: since(3)}, false, false},
		"before one of another":               {[]control.DrainRequest{drain, other}, control.DrainRequest{DataCentre: "a", Since: since(1)}, false, false},
		"nothing to undo":                     {[]control.DrainRequest{drain, end}, control.DrainRequest{DataCentre: "a", Since: since(0)}, false, false},
		"a drain before a newer withdrawal":   {[]control.DrainRequest{drain, end}, control.DrainRequest{DataCentre: "a", Drain: true, Since: since(0)}, true, false},
		"revisions after it no longer known":  {append(again, drain), control.DrainRequest{DataCentre: "a", Since: since(1)}, true, true},
		"written before orders had revisions": {[]control.DrainRequest{drain}, end, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := control.NewMachine()
			apply := func(order control.DrainRequest) control.DrainReply {
				data, err := control.Command{DrainDataCentre: &order}.Encode()
				is.NoErr(err)
				return m.Apply(0, data).(control.DrainReply)
			}
			for _, order := range c.before {
				apply(order)
			}
			is.Equal(apply(c.late).Superseded, c.superseded)
			is.Equal(m.Configuration().Drained("e", "a"), c.drained)
		})
	}
}

// Guards against a drain that is confirmed without a quorum, that an entry does not learn, and that an entry forgets
// when it starts again or when the leader changes.
func TestDrainReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		defer f.stop()
		time.Sleep(2 * time.Second)
		f.log.setLeader(1, false)
		order := control.DrainRequest{DataCentre: "bilbao", Drain: true}
		is.True(f.tryDrain(t, order) != nil) // no quorum, no confirmation
		f.log.setLeader(2, true)
		is.NoErr(f.tryDrain(t, order))
		is.NoErr(f.tryDrain(t, order)) // sent again
		f.add("entry-0", "b")
		time.Sleep(time.Second)
		f.checkDrained(is, true)
		// Without a leader, entries keep what they know, also when their leases have expired.
		f.log.setLeader(2, false)
		time.Sleep(2 * session.LeaseDuration)
		f.checkDrained(is, true)
		f.log.setLeader(3, true)
		is.NoErr(f.tryDrain(t, control.DrainRequest{DataCentre: "bilbao"}))
		time.Sleep(time.Second)
		f.checkDrained(is, false)
	})
}

// tryDrain sends an order within the time that callers wait.
func (f *fleet) tryDrain(t *testing.T, order control.DrainRequest) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := f.client.DrainDataCentre(ctx, order)
	return err
}

// checkDrained checks what all entries know of the data centre bilbao.
func (f *fleet) checkDrained(is *is.I, drained bool) {
	is.Helper()
	for _, s := range f.sessions {
		view, _ := s.View() // an expired lease does not matter
		is.Equal(view.Configuration.Drained("e", "bilbao"), drained)
	}
}
