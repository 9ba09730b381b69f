package controller

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// The roles of engines that work on one phase of a request. Engines with another role, or none, do
// both and are left alone.
const (
	Prefill = "prefill"
	Decode  = "decode"
)

const (
	// The queue of the prefill engines is long or short by these bounds; decode engines are short of
	// memory or have plenty by the others. Between the bounds nothing changes.
	longQueue   = 2 * time.Second
	shortQueue  = 200 * time.Millisecond
	scarceShare = 0.8
	ampleShare  = 0.5
	// holdBefore is how long the need must last, and dwellAfter the least time between two changes in
	// a cell. A change of role costs the engine its prefix cache, so changes must be rare.
	holdBefore = 30 * time.Second
	dwellAfter = 2 * time.Minute
)

// RolesConfig sets up Roles.
type RolesConfig struct {
	Lease         Lease
	Configuration Configuration
	Fleet         Fleet
	Now           func() time.Time
	Logger        *zap.Logger
}

// need is a change of role that the load of a cell asks for.
type need struct {
	from, to string
	since    time.Time
}

// Roles chooses the roles of the engines of each cell by their load. Orders carries the choices out.
type Roles struct {
	config RolesConfig

	// The following belong to the goroutine that runs the rounds.
	term    uint64
	needs   map[string]need
	changed map[string]time.Time

	mu      sync.Mutex
	choices map[string]string
}

// NewRoles returns the controller.
func NewRoles(config RolesConfig) *Roles {
	return &Roles{config: config, needs: make(map[string]need), changed: make(map[string]time.Time), choices: make(map[string]string)}
}

// Choices returns the chosen roles by endpoint. An endpoint that was never chosen is absent.
func (r *Roles) Choices() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.choices)
}

// Round measures each cell and changes at most one role in it.
func (r *Roles) Round(ctx context.Context) {
	remaining, term := r.config.Lease.LeaderLease()
	if remaining <= 0 || term != r.term {
		r.reset(term)
	}
	if remaining <= 0 {
		return
	}
	views, complete := r.config.Fleet.Endpoints(ctx)
	if !complete {
		return
	}
	settings := r.config.Configuration.Configuration().Endpoints
	for cell, engines := range r.cells(views) {
		movable := slices.DeleteFunc(slices.Clone(engines), func(v dispatch.EndpointView) bool {
			setting := settings[v.Announcement.Name]
			return setting.Role != "" || setting.Drain
		})
		r.cell(cell, engines, movable)
	}
}

// reset forgets the choices: a new leader starts from the observed roles, which it keeps until a
// need has lasted.
func (r *Roles) reset(term uint64) {
	r.term = term
	clear(r.needs)
	clear(r.changed)
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.choices)
}

// cells groups the ready engines that have one of the two roles by region and first model.
func (r *Roles) cells(views []dispatch.EndpointView) map[string][]dispatch.EndpointView {
	cells := make(map[string][]dispatch.EndpointView)
	seen := make(map[string]bool)
	for _, v := range views {
		a := v.Announcement
		if seen[a.Name] || a.Type != endpoint.Engine || a.State != endpoint.Ready || len(a.Models) == 0 {
			continue
		}
		seen[a.Name] = true
		if a.Role == Prefill || a.Role == Decode {
			cell := dispatch.FirstCell(a.Models[0], a.Region)
			cells[cell] = append(cells[cell], v)
		}
	}
	return cells
}

func (r *Roles) cell(cell string, engines, movable []dispatch.EndpointView) {
	now := r.config.Now()
	from, to := wantedChange(engines)
	if from == "" {
		delete(r.needs, cell)
		return
	}
	if known := r.needs[cell]; known.from != from {
		r.needs[cell] = need{from: from, to: to, since: now}
	}
	changed, before := r.changed[cell]
	if now.Sub(r.needs[cell].since) < holdBefore || (before && now.Sub(changed) < dwellAfter) {
		return
	}
	name, ok := idlest(engines, movable, from)
	if !ok {
		return
	}
	delete(r.needs, cell)
	r.changed[cell] = now
	r.mu.Lock()
	r.choices[name] = to
	r.mu.Unlock()
	r.config.Logger.Info("Changed a role", zap.String("cell", cell), zap.String("endpoint", name), zap.String("role", to))
}

// wantedChange returns the roles between which an engine should move, or empty strings.
func wantedChange(engines []dispatch.EndpointView) (from, to string) {
	var queued, rate, used, memory float64
	for _, v := range engines {
		load := v.Announcement.Load
		if v.Announcement.Role == Prefill {
			queued += float64(load.QueuedPrefill)
			rate += load.PrefillRate
			continue
		}
		used += float64(load.Used)
		memory += float64(v.Announcement.Memory)
	}
	if rate == 0 || memory == 0 {
		return "", "" // one of the roles has no engine, or reports no rate
	}
	queue, share := queued/rate, used/memory
	switch {
	case queue > longQueue.Seconds() && share < ampleShare:
		return Decode, Prefill
	case queue < shortQueue.Seconds() && share > scarceShare:
		return Prefill, Decode
	default:
		return "", ""
	}
}

// idlest returns the movable engine of a role with the least work, unless it is the last of the role.
func idlest(engines, movable []dispatch.EndpointView, role string) (string, bool) {
	count := 0
	for _, v := range engines {
		if v.Announcement.Role == role {
			count++
		}
	}
	var candidates []endpoint.Announcement
	for _, v := range movable {
		if v.Announcement.Role == role {
			candidates = append(candidates, v.Announcement)
		}
	}
	if count < 2 || len(candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(candidates, func(a, b endpoint.Announcement) int {
		return cmp.Or(cmp.Compare(a.Load.Used+a.Load.QueuedPrefill, b.Load.Used+b.Load.QueuedPrefill), cmp.Compare(a.Name, b.Name))
	}).Name, true
}
