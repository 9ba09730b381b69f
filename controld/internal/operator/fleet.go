package operator

import (
	"context"
	"fmt"
	"maps"
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
	missing []language.MissingPart
}

// askFleet asks the dispatcher of each cell for its view, with the request that it is given for the cell.
// A cell whose dispatcher does not answer within fleetTimeout is named in missing.
func askFleet(ctx context.Context, peers Caller, c configuration.Configuration, members []session.Member,
	request func(cell string) dispatch.EndpointsRequest,
) fleet {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	var (
		result  fleet
		mu      sync.Mutex
		calls   sync.WaitGroup
		permits = make(chan struct{}, maxFleetCalls)
	)
	dispatchers := session.AssignDispatchers(c, members)
	for _, cell := range cellsOf(c, members) {
		calls.Go(func() {
			permits <- struct{}{}
			defer func() { <-permits }()
			reply, err := askCell(ctx, peers, request(cell), dispatcherOrder(cell, dispatchers[cell], members))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.missing = append(result.missing, language.MissingPart{Part: "cell " + cell, Error: err.Error()})
				return
			}
			result.cells = append(result.cells, cellView{cell: cell, reply: reply})
		})
	}
	calls.Wait()
	slices.SortFunc(result.cells, func(x, y cellView) int { return compareText(x.cell, y.cell) })
	slices.SortFunc(result.missing, func(x, y language.MissingPart) int { return compareText(x.Part, y.Part) })
	return result
}

// askCell asks the entries in order until one dispatches for the cell. The first that does not answer
// ends the search with an error: it may be the dispatcher.
func askCell(ctx context.Context, peers Caller, request dispatch.EndpointsRequest, members []session.Member) (dispatch.EndpointsReply, error) {
	for _, member := range members {
		var reply dispatch.EndpointsReply
		err := peers.Call(ctx, member.Peer, "Dispatch.Endpoints", request, &reply)
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
			cells = append(cells, dispatch.CellNames(dispatch.FirstCell(name, region), model.Cells())...)
		}
		for name := range c.Services {
			cells = append(cells, dispatch.FirstCell(name, region))
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

// Fleet is the control leader's view of the endpoints. It keeps what the dispatchers have told it and asks
// them for changes only.
type Fleet struct {
	config FleetConfig
	mu     sync.Mutex
	cells  map[string]*cellCache
}

// cellCache is what is known of a cell at one version of a dispatcher's life.
type cellCache struct {
	life, version uint64
	views         map[string]dispatch.EndpointView
}

// NewFleet returns the view.
func NewFleet(config FleetConfig) *Fleet {
	return &Fleet{config: config, cells: make(map[string]*cellCache)}
}

// Endpoints returns the endpoints of all cells, each once, without counts and ages, and with the load of
// those that have a role. When a dispatcher does not answer, or no entry has a session, complete is false.
func (f *Fleet) Endpoints(ctx context.Context) (views []dispatch.EndpointView, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := f.config.Members()
	seen := askFleet(ctx, f.config.Peers, f.config.Configuration(), members, f.request)
	known := make(map[string]*cellCache, len(seen.cells))
	for i, cell := range seen.cells {
		cache := f.cells[cell.cell].with(cell.reply)
		known[cell.cell] = cache
		seen.cells[i].reply.Endpoints = cache.sorted()
	}
	// A cell that did not answer is asked for everything next time.
	f.cells = known
	return endpointsOf(seen), len(members) > 0 && len(seen.missing) == 0
}

// request asks for what has changed since the last answer. It is called while f.mu is held.
func (f *Fleet) request(cell string) dispatch.EndpointsRequest {
	request := dispatch.EndpointsRequest{Cell: cell, Changes: true}
	if cache := f.cells[cell]; cache != nil {
		request.Life, request.Version = cache.life, cache.version
	}
	return request
}

func (c *cellCache) with(reply dispatch.EndpointsReply) *cellCache {
	if c == nil || reply.Whole || reply.Life == 0 {
		c = &cellCache{views: make(map[string]dispatch.EndpointView, len(reply.Endpoints))}
	}
	c.life, c.version = reply.Life, reply.Version
	for _, name := range reply.Gone {
		delete(c.views, name)
	}
	for _, view := range reply.Endpoints {
		c.views[view.Announcement.Name] = view
	}
	return c
}

func (c *cellCache) sorted() []dispatch.EndpointView {
	views := make([]dispatch.EndpointView, 0, len(c.views))
	for _, name := range slices.Sorted(maps.Keys(c.views)) {
		views = append(views, c.views[name])
	}
	return views
}

// everything asks for the whole view of a cell.
func everything(cell string) dispatch.EndpointsRequest {
	return dispatch.EndpointsRequest{Cell: cell}
}
