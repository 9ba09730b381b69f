package cell

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

const (
	pollInterval = time.Second
	pollTimeout  = 500 * time.Millisecond
	// pollCells and pollEndpoints bound what an entry asks for at a time. All endpoints of 24 models would
	// be 230 KB a second at the size of design.md, section 4; 12 are 1.1 KB, and as many are answered.
	pollCells     = 4
	pollEndpoints = 12
	// inUse is how long a cell is polled after the last request for it.
	inUse = time.Minute
	// staleAfter is how long an endpoint that is no longer heard of serves where nothing newer is known. With
	// more models in use than pollCells the list of one is some seconds old. It is short because an endpoint
	// that has left must not get new work for long; it refuses, and the request is tried elsewhere.
	staleAfter = 10 * time.Second
)

// roster is the last known state of some endpoints of the cells in use. It is as old as the last poll
// or announcement and serves only while a dispatcher is lost.
type roster struct {
	mu    sync.Mutex
	cells map[string]*cellState
}

type cellState struct {
	lastUse   time.Time
	endpoints map[string]known
}

type known struct {
	announcement endpoint.Announcement
	at           time.Time
	open         bool
	// chosen counts the requests that this entry sent there since the report.
	chosen int
}

func newRoster() *roster {
	return &roster{cells: make(map[string]*cellState)}
}

func (r *roster) cell(name string) *cellState {
	state := r.cells[name]
	if state == nil {
		state = &cellState{endpoints: make(map[string]known)}
		r.cells[name] = state
	}
	return state
}

func (r *roster) use(cell string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cell(cell).lastUse = time.Now()
}

// used returns the cells in use and forgets the others and endpoints that are dead.
func (r *roster) used() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.cells, func(_ string, state *cellState) bool {
		maps.DeleteFunc(state.endpoints, func(_ string, k known) bool { return now.Sub(k.at) > staleAfter })
		return now.Sub(state.lastUse) > inUse && len(state.endpoints) == 0
	})
	var names []string
	for name, state := range r.cells {
		if now.Sub(state.lastUse) <= inUse {
			names = append(names, name)
		}
	}
	return names
}

func (r *roster) announced(a endpoint.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.CacheEvents = nil
	for _, model := range a.Models {
		state := r.cell(dispatch.FirstCell(model, a.Region))
		state.endpoints[a.Name] = known{announcement: a, at: time.Now(), open: state.endpoints[a.Name].open}
	}
}

func (r *roster) polled(cell string, views []dispatch.EndpointView) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.cell(cell)
	now := time.Now()
	for _, view := range views {
		at := now.Add(-view.Age)
		view.Announcement.CacheEvents = nil
		last, ok := state.endpoints[view.Announcement.Name]
		if ok && last.at.After(at) {
			last.open = view.Open
			state.endpoints[view.Announcement.Name] = last
			continue
		}
		state.endpoints[view.Announcement.Name] = known{announcement: view.Announcement, at: at, open: view.Open}
	}
}

// choose takes two random endpoints that can run the request and returns the less loaded one
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
func (r *roster) choose(request dispatch.ReserveRequest, settings map[string]configuration.EndpointSetting) (dispatch.GrantMember, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.cell(request.Cell)
	now := time.Now()
	need := request.PromptTokens + request.MaxTokens
	var fresh, stale []known
	for name, k := range state.endpoints {
		a := k.announcement
		usable := a.State == endpoint.Ready && !k.open && !settings[name].Drain && !slices.Contains(request.Exclude, name) &&
			(request.Adapter == "" || slices.Contains(a.Adapters, request.Adapter)) &&
			(a.Type == endpoint.Service || a.Memory >= need)
		switch age := now.Sub(k.at); {
		case !usable || age > staleAfter:
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
	if other := candidates[rand.IntN(len(candidates))]; other.load() < best.load() {
		best = other
	}
	best.chosen++
	state.endpoints[best.announcement.Name] = best
	return dispatch.GrantMember{Endpoint: best.announcement.Name, Address: best.announcement.Address, Tokens: need}, true
}

// load is the work ahead of a new request in requests; a queued prefill counts by its tokens.
func (k known) load() float64 {
	const tokensPerRequest = 4000
	l := k.announcement.Load
	return float64(l.Running+l.Queued+k.chosen) + float64(l.QueuedPrefill)/tokensPerRequest
}

// poll asks the dispatchers of the cells in use for some of their endpoints once a second.
func (c *Client) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var calls sync.WaitGroup
		cells := c.pollNext()
		for _, first := range cells {
			calls.Go(func() { c.pollCell(ctx, first, pollEndpoints/len(cells)) })
		}
		calls.Wait()
	}
}

// pollNext returns the first cells of the models to ask about now, at random.
func (c *Client) pollNext() []string {
	used := c.roster.used()
	rand.Shuffle(len(used), func(i, j int) { used[i], used[j] = used[j], used[i] })
	return used[:min(len(used), pollCells)]
}

// pollCell asks one cell of a model, at random, and adds what it is told to the endpoints of the model, which
// are kept under the first cell.
func (c *Client) pollCell(ctx context.Context, first string, sample int) {
	view, _ := c.config.View()
	names := dispatch.CellNames(first, view.Cells(first))
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
		c.roster.polled(first, reply.Endpoints)
	}
}
