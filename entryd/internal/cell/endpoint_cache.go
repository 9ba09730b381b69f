package cell

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

const (
	pollInterval = time.Second
	pollTimeout  = 500 * time.Millisecond
	// pollCells and pollEndpoints bound what an entry asks for in one poll. All endpoints of 24 models would be
	// 230 KB a second at the size of design.md, section 4; 12 endpoints are 1.1 KB, and the dispatchers return
	// as many as are asked for.
	pollCells     = 4
	pollEndpoints = 12
	// idleAfter is how long a cell is polled after the last request for it.
	idleAfter = time.Minute
	// expireAfter is how long an endpoint that was neither announced nor listed again is used where nothing
	// newer is known. With more models in use than pollCells, the list of one is some seconds old. It is short
	// because an endpoint that has left must not get new work for long; such an endpoint refuses, and the request
	// is tried at another one.
	expireAfter = 10 * time.Second
)

// endpointCache holds the last known state of some endpoints of the cells in use, as of the last poll or
// announcement. It is used only while a dispatcher is unreachable.
type endpointCache struct {
	mu    sync.Mutex
	cells map[string]*cellState
}

type cellState struct {
	lastUse   time.Time
	endpoints map[string]knownEndpoint
}

type knownEndpoint struct {
	announcement endpoint.Announcement
	reportedAt   time.Time
	breakerOpen  bool
	// sentRequests counts the requests that this entry has sent to the endpoint since the report.
	sentRequests int
}

func newEndpointCache() *endpointCache {
	return &endpointCache{cells: make(map[string]*cellState)}
}

func (e *endpointCache) cell(name string) *cellState {
	state := e.cells[name]
	if state == nil {
		state = &cellState{endpoints: make(map[string]knownEndpoint)}
		e.cells[name] = state
	}
	return state
}

func (e *endpointCache) markUsed(cell string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cell(cell).lastUse = time.Now()
}

// cellsInUse returns the cells in use. It removes expired endpoints and idle cells without endpoints.
func (e *endpointCache) cellsInUse() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(e.cells, func(_ string, state *cellState) bool {
		maps.DeleteFunc(state.endpoints, func(_ string, k knownEndpoint) bool { return now.Sub(k.reportedAt) > expireAfter })
		return now.Sub(state.lastUse) > idleAfter && len(state.endpoints) == 0
	})
	var names []string
	for name, state := range e.cells {
		if now.Sub(state.lastUse) <= idleAfter {
			names = append(names, name)
		}
	}
	return names
}

func (e *endpointCache) recordAnnouncement(a endpoint.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.CacheEvents = nil
	for _, model := range a.Models {
		state := e.cell(dispatch.FirstCell(model, a.Region))
		state.endpoints[a.Name] = knownEndpoint{announcement: a, reportedAt: time.Now(), breakerOpen: state.endpoints[a.Name].breakerOpen}
	}
}

func (e *endpointCache) recordPoll(cell string, views []dispatch.EndpointView) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.cell(cell)
	now := time.Now()
	for _, view := range views {
		reportedAt := now.Add(-view.Age)
		view.Announcement.CacheEvents = nil
		last, ok := state.endpoints[view.Announcement.Name]
		if ok && last.reportedAt.After(reportedAt) {
			last.breakerOpen = view.Open
			state.endpoints[view.Announcement.Name] = last
			continue
		}
		state.endpoints[view.Announcement.Name] = knownEndpoint{announcement: view.Announcement, reportedAt: reportedAt, breakerOpen: view.Open}
	}
}

// choose draws two random endpoints that can run the request and returns the less loaded one
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
func (e *endpointCache) choose(request dispatch.ReserveRequest, drained func(endpoint, dataCentre string) bool) (dispatch.GrantMember, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.cell(request.Cell)
	now := time.Now()
	tokens := request.PromptTokens + request.MaxTokens
	var fresh, stale []knownEndpoint
	for name, k := range state.endpoints {
		a := k.announcement
		usable := a.State == endpoint.Ready && !k.breakerOpen && !drained(name, a.DataCentre) && !slices.Contains(request.Exclude, name) &&
			(request.Adapter == "" || slices.Contains(a.Adapters, request.Adapter)) &&
			(a.Type == endpoint.Service || a.Memory >= tokens)
		switch age := now.Sub(k.reportedAt); {
		case !usable || age > expireAfter:
		case age <= endpoint.DeadAfter:
			fresh = append(fresh, k)
		default:
			stale = append(stale, k)
		}
	}
	candidates := fresh
	if len(candidates) == 0 {
		candidates = stale
	}
	if len(candidates) == 0 {
		return dispatch.GrantMember{}, false
	}
	best := candidates[rand.IntN(len(candidates))]
	if other := candidates[rand.IntN(len(candidates))]; other.expectedLoad() < best.expectedLoad() {
		best = other
	}
	best.sentRequests++
	state.endpoints[best.announcement.Name] = best
	return dispatch.GrantMember{Endpoint: best.announcement.Name, Address: best.announcement.Address, Tokens: tokens}, true
}

// expectedLoad is the work ahead of a new request, counted in requests; a queued prefill counts by its tokens.
func (k knownEndpoint) expectedLoad() float64 {
	const tokensPerRequest = 4000
	l := k.announcement.Load
	return float64(l.Running+l.Queued+k.sentRequests) + float64(l.QueuedPrefill)/tokensPerRequest
}

// pollLoop asks the dispatchers of the cells in use for some of their endpoints once a second.
func (c *Client) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var calls sync.WaitGroup
		cells := c.cellsToPoll()
		for _, firstCell := range cells {
			calls.Go(func() { c.pollCell(ctx, firstCell, pollEndpoints/len(cells)) })
		}
		calls.Wait()
	}
}

// cellsToPoll returns the first cells of a random choice of the models in use, at most pollCells.
func (c *Client) cellsToPoll() []string {
	used := c.endpointCache.cellsInUse()
	rand.Shuffle(len(used), func(i, j int) { used[i], used[j] = used[j], used[i] })
	return used[:min(len(used), pollCells)]
}

// pollCell asks a random cell of a model for endpoints and stores them under the model's first cell.
func (c *Client) pollCell(ctx context.Context, firstCell string, sample int) {
	view, _ := c.config.View()
	names := dispatch.CellNames(firstCell, view.Cells(firstCell))
	name := names[rand.IntN(len(names))]
	target, ok := c.dispatcher(name)
	if !ok {
		return
	}
	var reply dispatch.EndpointsReply
	request := dispatch.EndpointsRequest{Cell: name, Sample: sample}
	err := c.call(ctx, target, pollTimeout, "Dispatch.Endpoints", request, &reply)
	if err != nil {
		c.config.Logger.Debug("Could not poll the endpoints of a cell", zap.String("cell", name), zap.Error(err))
		return
	}
	if reply.Status != dispatch.Elsewhere {
		c.endpointCache.recordPoll(firstCell, reply.Endpoints)
	}
}
