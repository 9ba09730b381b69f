package cell_test

import (
	"context"
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
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// cells stands for the dispatchers of a model with several cells, all at one instance. A cell without an
// offer does not answer.
type cells struct {
	mu       sync.Mutex
	replicas int
	offers   map[string]dispatch.Estimate
	// asked and reserved have the cells in the order of the calls; events the cells of reported events.
	asked, reserved, events []string
}

func (r *cells) Call(ctx context.Context, _, method string, args, reply any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch request := args.(type) {
	case dispatch.ReserveRequest:
		offer, ok := r.offers[request.Cell]
		if !ok {
			r.mu.Unlock()
			<-ctx.Done()
			r.mu.Lock()
			return ctx.Err()
		}
		if method == "Dispatch.Estimate" {
			r.asked = append(r.asked, request.Cell)
			*reply.(*dispatch.Estimate) = offer
			return nil
		}
		r.reserved = append(r.reserved, request.Cell)
		*reply.(*dispatch.ReserveReply) = dispatch.ReserveReply{
			Status: dispatch.Granted, Grant: dispatch.Grant{ID: request.AttemptID},
		}
		if offer.Status == dispatch.Refused {
			*reply.(*dispatch.ReserveReply) = dispatch.ReserveReply{Status: dispatch.Refused, Reason: offer.Reason}
		}
	case dispatch.ReportRequest:
		for _, event := range request.Events {
			r.events = append(r.events, event.Cell)
		}
	}
	return nil
}

func (r *cells) client() *cell.Client {
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

// Guards against a reservation in the worse cell or in two of them, a request that fails although a cell
// can run it, a copy that runs beside another one in a second cell, and waiting for lost dispatchers.
func TestChoiceOfTheCell(t *testing.T) {
	three := request
	three.Fingerprint = 5
	order := dispatch.CandidateCells(three, 3)
	granted := func(cost float64) dispatch.Estimate {
		return dispatch.Estimate{Status: dispatch.Granted, Cost: cost}
	}
	queued := dispatch.Estimate{Status: dispatch.Queued}
	none := dispatch.Estimate{Status: dispatch.Refused, Reason: dispatch.NoEndpoint}
	for name, test := range map[string]struct {
		offers   []dispatch.Estimate // in the order of the candidates
		silent   []int
		asked    int
		reserved []int
		wait     time.Duration
		local    bool
		refused  bool
	}{
		"lower cost":           {offers: []dispatch.Estimate{granted(2), granted(1), granted(0)}, asked: 2, reserved: []int{1}},
		"grant before queue":   {offers: []dispatch.Estimate{granted(2), queued, granted(0)}, asked: 2, reserved: []int{0}},
		"a copy runs":          {offers: []dispatch.Estimate{granted(1), {Status: dispatch.Queued, Bound: true}, granted(0)}, asked: 2, reserved: []int{1}},
		"third has the engine": {offers: []dispatch.Estimate{none, none, queued}, asked: 3, reserved: []int{2}},
		"quarantined":          {offers: []dispatch.Estimate{granted(0), {Status: dispatch.Refused, Reason: dispatch.Quarantined, Bound: true}, granted(0)}, asked: 2, reserved: []int{1}, refused: true},
		"one does not answer":  {offers: []dispatch.Estimate{granted(0), granted(2), granted(1)}, silent: []int{0}, asked: 1, reserved: []int{1}, wait: 50 * time.Millisecond},
		"two do not answer":    {offers: []dispatch.Estimate{granted(0), granted(2), granted(1)}, silent: []int{0, 1}, asked: 1, reserved: []int{2}, wait: 50 * time.Millisecond},
		"no dispatcher":        {offers: []dispatch.Estimate{granted(0), granted(2), granted(1)}, silent: []int{0, 1, 2}, wait: 100 * time.Millisecond, local: true},
		"all refuse":           {offers: []dispatch.Estimate{none, none, none}, asked: 6, reserved: []int{0, 1, 2}, local: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &cells{replicas: 65, offers: map[string]dispatch.Estimate{}}
				for i, offer := range test.offers {
					if !slices.Contains(test.silent, i) {
						r.offers[order[i]] = offer
					}
				}
				client := r.client()
				client.Announce(announcement("local", 0))
				began := time.Now()
				grant, err := client.Reserve(t.Context(), three, attempts())
				is.Equal(err != nil, test.refused)
				is.Equal(len(grant.Members) == 1, test.local)
				is.Equal(time.Since(began), test.wait)
				is.Equal(len(r.asked), test.asked)
				var reserved []int
				for _, name := range r.reserved {
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
	r := &cells{replicas: 200, offers: map[string]dispatch.Estimate{}}
	for _, name := range dispatch.CellNames(request.Cell, 7) {
		r.offers[name] = dispatch.Estimate{Status: dispatch.Granted}
	}
	for _, tried := range []string{"engine-1", "engine-2", "engine-3"} {
		retry := request
		retry.Exclude = []string{"engine-9", tried}
		r.reserved = nil
		_, err := r.client().Reserve(t.Context(), retry, attempts())
		is.NoErr(err)
		is.Equal(r.reserved, []string{dispatch.CellForEndpoint(request.Cell, tried, 7)})
	}
	is.Equal(len(r.asked), 0)
}

// Guards against events that are sent to the former cell of an endpoint, which would let the grant expire
// in the new one, and against a group of which only one of two cells hears.
func TestEventsFollowTheEndpoints(t *testing.T) {
	is := is.New(t)
	members := []dispatch.GrantMember{{Endpoint: "engine-1"}, {Endpoint: "engine-2"}, {Endpoint: "engine-3"}}
	r := &cells{replicas: 1}
	client := r.client()
	for _, replicas := range []int{32, 64, 300, 1} {
		r.replicas, r.events = replicas, nil
		run := client.Start(request, dispatch.Grant{ID: "g", Members: members})
		run.FirstToken()
		client.Flush(t.Context())
		want := map[string]bool{}
		for _, m := range members {
			want[dispatch.CellForEndpoint(request.Cell, m.Endpoint, (replicas+31)/32)] = true
		}
		is.Equal(len(r.events), len(want))
		for _, name := range r.events {
			is.True(want[name])
		}
		run.End(dispatch.Finished, stream.Usage{})
		client.Flush(t.Context())
	}
}
