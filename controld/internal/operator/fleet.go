package operator

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/language"
	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// maxFleetCalls bounds the concurrent calls of one query.
const maxFleetCalls = 64

// cellView is a cell as its dispatcher sees it.
type cellView struct {
	cell  string
	reply dispatch.EndpointsReply
}

// fleet is what the entries answered.
type fleet struct {
	cells   []cellView
	missing []language.Missing
}

// askFleet asks the dispatcher of each cell for its view. A cell whose dispatcher does not answer
// within fleetTimeout is named in missing.
func askFleet(ctx context.Context, peers Caller, c configuration.Configuration, members []session.Member) fleet {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	var (
		result  fleet
		mu      sync.Mutex
		calls   sync.WaitGroup
		permits = make(chan struct{}, maxFleetCalls)
	)
	dispatchers := session.Dispatchers(c, members)
	for _, cell := range cellsOf(c, members) {
		calls.Go(func() {
			permits <- struct{}{}
			defer func() { <-permits }()
			reply, err := askCell(ctx, peers, cell, dispatcherOrder(cell, dispatchers[cell], members))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.missing = append(result.missing, language.Missing{Part: "cell " + cell, Error: err.Error()})
				return
			}
			result.cells = append(result.cells, cellView{cell: cell, reply: reply})
		})
	}
	calls.Wait()
	slices.SortFunc(result.cells, func(x, y cellView) int { return compareText(x.cell, y.cell) })
	slices.SortFunc(result.missing, func(x, y language.Missing) int { return compareText(x.Part, y.Part) })
	return result
}

// askCell asks the entries in order until one dispatches for the cell. The first that does not answer
// ends the search with an error: it may be the dispatcher.
func askCell(ctx context.Context, peers Caller, cell string, members []session.Member) (dispatch.EndpointsReply, error) {
	for _, member := range members {
		var reply dispatch.EndpointsReply
		err := peers.Call(ctx, member.Peer, "Dispatch.Endpoints", dispatch.EndpointsRequest{Cell: cell}, &reply)
		if err != nil {
			return dispatch.EndpointsReply{}, fmt.Errorf("instance %s at %s: %w", member.Instance, member.Peer, err)
		}
		if reply.Status != dispatch.Elsewhere {
			return reply, nil
		}
	}
	return dispatch.EndpointsReply{}, fmt.Errorf("none of %d instances dispatches for it", len(members))
}

// dispatcherOrder puts the member to which the cell is assigned first. The others follow by rendezvous
// score: while views differ, one of the first of them may still dispatch for the cell.
func dispatcherOrder(cell string, assigned session.Member, members []session.Member) []session.Member {
	byName := make(map[string]session.Member, len(members))
	names := make([]string, 0, len(members))
	for _, member := range members {
		byName[member.Instance] = member
		if member.Instance != assigned.Instance {
			names = append(names, member.Instance)
		}
	}
	ordered := make([]session.Member, 0, len(members))
	if assigned.Instance != "" {
		ordered = append(ordered, assigned)
	}
	for _, name := range rendezvous.Rank(cell, names) {
		ordered = append(ordered, byName[name])
	}
	return ordered
}

// cellsOf lists the cells of all declared models and services in the regions of the members.
func cellsOf(c configuration.Configuration, members []session.Member) []string {
	regions := make(map[string]bool)
	for _, member := range members {
		regions[member.Region] = true
	}
	var cells []string
	for region := range regions {
		for name, model := range c.Models {
			cells = append(cells, dispatch.Cells(dispatch.Cell(name, region), model.Cells())...)
		}
		for name := range c.Services {
			cells = append(cells, dispatch.Cell(name, region))
		}
	}
	slices.Sort(cells)
	return slices.Compact(cells)
}

// FleetConfig sets up a Fleet.
type FleetConfig struct {
	Peers Caller
	// Configuration and Members are those of the control leader.
	Configuration func() configuration.Configuration
	Members       func() []session.Member
}

// Fleet is the control leader's view of the endpoints.
type Fleet struct {
	config FleetConfig
}

// NewFleet returns the view.
func NewFleet(config FleetConfig) *Fleet {
	return &Fleet{config: config}
}

// Endpoints returns the endpoints of all cells, each once. When a dispatcher does not answer, or no
// entry has a session, complete is false.
func (f *Fleet) Endpoints(ctx context.Context) (views []dispatch.EndpointView, complete bool) {
	members := f.config.Members()
	seen := askFleet(ctx, f.config.Peers, f.config.Configuration(), members)
	return endpointsOf(seen), len(members) > 0 && len(seen.missing) == 0
}
