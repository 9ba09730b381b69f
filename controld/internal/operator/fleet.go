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

// cellView is the state of a cell as reported by its dispatcher.
type cellView struct {
	cell  string
	reply dispatch.EndpointsReply
}

// fleetView holds the replies of the dispatchers, and the cells for which there is none.
type fleetView struct {
	cells   []cellView
	missing []language.MissingPart
}

// queryDispatchers asks the dispatcher of each cell for its view; request builds the request for a cell.
// A cell whose dispatcher does not reply within fleetTimeout is listed in missing.
func queryDispatchers(ctx context.Context, peers Caller, conf configuration.Configuration, members []session.Member,
	request func(cell string) dispatch.EndpointsRequest,
) fleetView {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	var (
		result  fleetView
		mu      sync.Mutex
		calls   sync.WaitGroup
		permits = make(chan struct{}, maxFleetCalls)
	)
	dispatchers := session.AssignDispatchers(conf, members)
	for _, cell := range cellsOf(conf, members) {
		calls.Go(func() {
			permits <- struct{}{}
			defer func() { <-permits }()
			reply, err := queryCell(ctx, peers, request(cell), dispatcherCandidates(cell, dispatchers[cell], members))
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

// queryCell asks the entries in turn until it reaches the cell's dispatcher. It stops with an error at the
// first entry that does not reply, since that one may be the dispatcher.
func queryCell(ctx context.Context, peers Caller, request dispatch.EndpointsRequest, members []session.Member) (dispatch.EndpointsReply, error) {
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

// dispatcherCandidates lists the members in the order in which to ask them: first the one to which the
// cell is assigned, then the others by descending rendezvous score. While the members' views differ, one
// of those with a high score may still dispatch for the cell.
func dispatcherCandidates(cell string, assigned session.Member, members []session.Member) []session.Member {
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
func cellsOf(conf configuration.Configuration, members []session.Member) []string {
	regions := make(map[string]bool)
	for _, member := range members {
		regions[member.Region] = true
	}
	var cells []string
	for region := range regions {
		for name, model := range conf.Models {
			cells = append(cells, dispatch.CellNames(dispatch.FirstCell(name, region), model.Cells())...)
		}
		for name := range conf.Services {
			cells = append(cells, dispatch.FirstCell(name, region))
		}
	}
	slices.Sort(cells)
	return slices.Compact(cells)
}

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Peers Caller
	// Configuration and Members are those of the control leader.
	Configuration func() configuration.Configuration
	Members       func() []session.Member
}

// Fleet is the control leader's view of the endpoints. It caches the dispatchers' replies and requests only
// the changes since the last one.
type Fleet struct {
	config FleetConfig
	mu     sync.Mutex
	cells  map[string]*cellCache
}

// cellCache holds the endpoints of a cell at one version of the change log of a dispatcher's incarnation.
type cellCache struct {
	incarnation, version uint64
	views                map[string]dispatch.EndpointView
}

// NewFleet returns a Fleet.
func NewFleet(config FleetConfig) *Fleet {
	return &Fleet{config: config, cells: make(map[string]*cellCache)}
}

// Endpoints returns the endpoints of all cells, each once, without counts and ages. Only endpoints with a
// role have their load. complete is false when a dispatcher does not reply or no entry has a session.
func (f *Fleet) Endpoints(ctx context.Context) (views []dispatch.EndpointView, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := f.config.Members()
	fleet := queryDispatchers(ctx, f.config.Peers, f.config.Configuration(), members, f.changesRequest)
	caches := make(map[string]*cellCache, len(fleet.cells))
	for i, cell := range fleet.cells {
		cache := f.cells[cell.cell].update(cell.reply)
		caches[cell.cell] = cache
		fleet.cells[i].reply.Endpoints = cache.sorted()
	}
	// A cell whose dispatcher did not reply is dropped, so that the next request is for its full view.
	f.cells = caches
	return uniqueEndpoints(fleet), len(members) > 0 && len(fleet.missing) == 0
}

// changesRequest returns a request for the changes since the last reply. The caller holds f.mu.
func (f *Fleet) changesRequest(cell string) dispatch.EndpointsRequest {
	request := dispatch.EndpointsRequest{Cell: cell, Changes: true}
	if cache := f.cells[cell]; cache != nil {
		request.Life, request.Version = cache.incarnation, cache.version
	}
	return request
}

// update applies a reply to the cache. It returns a new cache if there is none or the reply has all
// endpoints.
func (c *cellCache) update(reply dispatch.EndpointsReply) *cellCache {
	if c == nil || reply.Whole || reply.Life == 0 {
		c = &cellCache{views: make(map[string]dispatch.EndpointView, len(reply.Endpoints))}
	}
	c.incarnation, c.version = reply.Life, reply.Version
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

// fullRequest returns a request for the full view of a cell.
func fullRequest(cell string) dispatch.EndpointsRequest {
	return dispatch.EndpointsRequest{Cell: cell}
}
