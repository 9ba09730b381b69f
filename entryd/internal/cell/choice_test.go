package cell_test

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// cellDispatchers simulates the dispatchers of a model with several cells, all at one instance. A cell without
// an estimate does not reply.
type cellDispatchers struct {
	mu        sync.Mutex
	replicas  int
	estimates map[string]dispatch.Estimate
	// tooLarge holds the cells that queue a request and then refuse it as too large. The first refusal makes the
	// cells in later reply.
	tooLarge map[string]bool
	later    map[string]dispatch.Estimate
	// silentReserves has the number of reservations that a cell leaves without a reply.
	silentReserves map[string]int
	// estimateCalls and reserveCalls hold the called cells in order; eventCells holds the cells of the reported events.
	estimateCalls, reserveCalls, eventCells []string
}

func (r *cellDispatchers) Call(ctx context.Context, _, method string, args, reply any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch request := args.(type) {
	case dispatch.ReserveRequest:
		estimate, ok := r.estimates[request.Cell]
		if !ok {
			r.mu.Unlock()
			<-ctx.Done()
			r.mu.Lock()
			return ctx.Err()
		}
		if method == "Dispatch.Estimate" {
			r.estimateCalls = append(r.estimateCalls, request.Cell)
			*reply.(*dispatch.Estimate) = estimate
			return nil
		}
		r.reserveCalls = append(r.reserveCalls, request.Cell)
		if r.silentReserves[request.Cell] > 0 {
			r.silentReserves[request.Cell]--
			r.mu.Unlock()
			<-ctx.Done()
			r.mu.Lock()
			return ctx.Err()
		}
		*reply.(*dispatch.ReserveReply) = dispatch.ReserveReply{
			Status: dispatch.Granted, Grant: dispatch.Grant{ID: request.AttemptID},
		}
		if r.tooLarge[request.Cell] {
			*reply.(*dispatch.ReserveReply) = dispatch.ReserveReply{Status: dispatch.Refused, Reason: dispatch.TooLarge}
			maps.Copy(r.estimates, r.later)
		}
		if estimate.Status == dispatch.Refused {
			*reply.(*dispatch.ReserveReply) = dispatch.ReserveReply{Status: dispatch.Refused, Reason: estimate.Reason}
		}
	case dispatch.ReportRequest:
		for _, event := range request.Events {
			r.eventCells = append(r.eventCells, event.Cell)
		}
	}
	return nil
}

func (r *cellDispatchers) client() *cell.Client {
	return cell.New(cell.Config{
		Instance: "entry-1", Incarnation: "1", Caller: r, Logger: zap.NewNop(),
		View: func() (session.View, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return session.View{
				Members:       []session.Member{{Instance: "entry-2", Region: "norte", Peer: "peer"}},
				Configuration: configuration.Configuration{Models: map[string]configuration.Model{"oak": {Replicas: r.replicas}}},
			}, nil
		},
	})
}

// Guards against a reservation in the worse cell or in two cells, a request that fails although a cell can
// run it, a copy that runs beside another copy in a second cell, and waits for unreachable dispatchers.
func TestChoiceOfTheCell(t *testing.T) {
	threeCells := request
	threeCells.Fingerprint = 5
	order := dispatch.CandidateCells(threeCells, 3)
	granted := func(cost float64) dispatch.Estimate {
		return dispatch.Estimate{Status: dispatch.Granted, Cost: cost}
	}
	queued := dispatch.Estimate{Status: dispatch.Queued}
	none := dispatch.Estimate{Status: dispatch.Refused, Reason: dispatch.NoEndpoint}
	for name, test := range map[string]struct {
		estimates     []dispatch.Estimate // in the order of the candidates
		unresponsive  []int
		estimateCalls int
		reserved      []int
		wait          time.Duration
		local         bool
		refused       bool
	}{
		"lower cost":           {estimates: []dispatch.Estimate{granted(2), granted(1), granted(0)}, estimateCalls: 2, reserved: []int{1}},
		"grant before queue":   {estimates: []dispatch.Estimate{granted(2), queued, granted(0)}, estimateCalls: 2, reserved: []int{0}},
		"a copy runs":          {estimates: []dispatch.Estimate{granted(1), {Status: dispatch.Queued, Bound: true}, granted(0)}, estimateCalls: 2, reserved: []int{1}},
		"third has the engine": {estimates: []dispatch.Estimate{none, none, queued}, estimateCalls: 3, reserved: []int{2}},
		"quarantined":          {estimates: []dispatch.Estimate{granted(0), {Status: dispatch.Refused, Reason: dispatch.Quarantined, Bound: true}, granted(0)}, estimateCalls: 2, reserved: []int{1}, refused: true},
		"one does not reply":   {estimates: []dispatch.Estimate{granted(0), granted(2), granted(1)}, unresponsive: []int{0}, estimateCalls: 1, reserved: []int{1}, wait: 50 * time.Millisecond},
		"two do not reply":     {estimates: []dispatch.Estimate{granted(0), granted(2), granted(1)}, unresponsive: []int{0, 1}, estimateCalls: 1, reserved: []int{2}, wait: 50 * time.Millisecond},
		"no dispatcher":        {estimates: []dispatch.Estimate{granted(0), granted(2), granted(1)}, unresponsive: []int{0, 1, 2}, wait: 100 * time.Millisecond, local: true},
		"all refuse":           {estimates: []dispatch.Estimate{none, none, none}, estimateCalls: 6, reserved: []int{0, 1, 2}, local: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &cellDispatchers{replicas: 65, estimates: map[string]dispatch.Estimate{}}
				for i, estimate := range test.estimates {
					if !slices.Contains(test.unresponsive, i) {
						r.estimates[order[i]] = estimate
					}
				}
				client := r.client()
				client.Announce(announcement("local", 0))
				began := time.Now()
				grant, err := client.Reserve(t.Context(), threeCells, attemptIDs())
				is.Equal(err != nil, test.refused)
				is.Equal(len(grant.Members) == 1, test.local)
				is.Equal(time.Since(began), test.wait)
				is.Equal(len(r.estimateCalls), test.estimateCalls)
				var reserved []int
				for _, name := range r.reserveCalls {
					reserved = append(reserved, slices.Index(order, name))
				}
				is.Equal(reserved, test.reserved)
			})
		})
	}
}

// Guards against refusing a prompt for good that is too large for one cell, while the dispatcher of a larger cell has
// not replied to the first estimate or to a reservation, or replies again only later.
func TestTooLargeForOneCellOnly(t *testing.T) {
	twoCells := request
	twoCells.Fingerprint = 5
	order := dispatch.CandidateCells(twoCells, 2)
	queued := dispatch.Estimate{Status: dispatch.Queued}
	for name, test := range map[string]struct {
		tooLarge, later []int
		// silent has the number of reservations that a cell leaves without a reply. Both cells then give estimates.
		silent   map[int]int
		reserved []int
		status   int
	}{
		"the other cell did not reply":  {tooLarge: []int{1}, silent: map[int]int{0: 1}, reserved: []int{0, 1, 0}},
		"it does not reply twice":       {tooLarge: []int{1}, silent: map[int]int{0: 2}, reserved: []int{0, 1, 0, 0}},
		"the other cell replies again":  {tooLarge: []int{0}, later: []int{1}, reserved: []int{0, 1}},
		"too large for both":            {tooLarge: []int{0, 1}, later: []int{1}, reserved: []int{0, 1}, status: http.StatusRequestEntityTooLarge},
		"the other cell does not reply": {tooLarge: []int{0}, reserved: []int{0}, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &cellDispatchers{
					replicas: 33, estimates: map[string]dispatch.Estimate{order[0]: queued},
					tooLarge: map[string]bool{}, later: map[string]dispatch.Estimate{},
				}
				for _, i := range test.tooLarge {
					r.tooLarge[order[i]] = true
				}
				for i, count := range test.silent {
					r.estimates[order[1]] = queued
					r.silentReserves = map[string]int{order[i]: count}
				}
				for _, i := range test.later {
					r.later[order[i]] = queued
				}
				_, err := r.client().Reserve(t.Context(), twoCells, attemptIDs())
				var refused refusal.Error
				is.Equal(errors.As(err, &refused), test.status != 0)
				is.Equal(refused.Status, test.status)
				var reserved []int
				for _, name := range r.reserveCalls {
					reserved = append(reserved, slices.Index(order, name))
				}
				is.Equal(reserved, test.reserved)
			})
		})
	}
}

// Guards against a retry in a cell that does not know yet that the request may have crashed an endpoint.
func TestRetryAsksTheCellOfTheLastAttempt(t *testing.T) {
	is := is.New(t)
	r := &cellDispatchers{replicas: 200, estimates: map[string]dispatch.Estimate{}}
	for _, name := range dispatch.CellNames(request.Cell, 7) {
		r.estimates[name] = dispatch.Estimate{Status: dispatch.Granted}
	}
	for _, tried := range []string{"engine-1", "engine-2", "engine-3"} {
		retry := request
		retry.Exclude = []string{"engine-9", tried}
		r.reserveCalls = nil
		_, err := r.client().Reserve(t.Context(), retry, attemptIDs())
		is.NoErr(err)
		is.Equal(r.reserveCalls, []string{dispatch.CellForEndpoint(request.Cell, tried, 7)})
	}
	is.Equal(len(r.estimateCalls), 0)
}

// Guards against events that are sent to the former cell of an endpoint, which would let the grant expire in
// the new one, and against events of a group that reach only one of its two cells.
func TestEventsFollowTheEndpoints(t *testing.T) {
	is := is.New(t)
	members := []dispatch.GrantMember{{Endpoint: "engine-1"}, {Endpoint: "engine-2"}, {Endpoint: "engine-3"}}
	r := &cellDispatchers{replicas: 1}
	client := r.client()
	for _, replicas := range []int{32, 64, 300, 1} {
		r.replicas, r.eventCells = replicas, nil
		run := client.TrackGrant(request, dispatch.Grant{ID: "g", Members: members})
		run.FirstToken()
		client.Flush(t.Context())
		want := map[string]bool{}
		for _, m := range members {
			want[dispatch.CellForEndpoint(request.Cell, m.Endpoint, (replicas+31)/32)] = true
		}
		is.Equal(len(r.eventCells), len(want))
		for _, name := range r.eventCells {
			is.True(want[name])
		}
		run.End(dispatch.Finished, stream.Usage{})
		client.Flush(t.Context())
	}
}
