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

// The roles of engines that run only one phase of a request. Engines with another role, or none, run
// both phases, and RoleBalancer ignores them.
const (
	Prefill = "prefill"
	Decode  = "decode"
)

const (
	// The thresholds for the prefill backlog, as the time to process it, and for the share of the decode
	// engines' memory in use. Between the lower and the upper threshold no role changes.
	longPrefillQueue  = 2 * time.Second
	shortPrefillQueue = 200 * time.Millisecond
	highMemoryUse     = 0.8
	lowMemoryUse      = 0.5
	// stabilisationWindow is how long a cell must need a change before it is made, and roleCooldown the
	// minimum time between two changes in a cell. An engine that changes its role loses its prefix
	// cache, so changes must be rare.
	stabilisationWindow = 30 * time.Second
	roleCooldown        = 2 * time.Minute
)

// RoleBalancerConfig configures a RoleBalancer.
type RoleBalancerConfig struct {
	Lease         Lease
	Configuration Configuration
	Fleet         Fleet
	Now           func() time.Time
	Logger        *zap.Logger
}

// roleChange is a change of role that the load of a cell calls for, and since when it does.
type roleChange struct {
	from, to string
	since    time.Time
}

// RoleBalancer distributes the engines of each cell between prefill and decode according to their load.
// Reconciler applies its choices.
type RoleBalancer struct {
	config RoleBalancerConfig

	// The following fields are used only by the goroutine that runs the rounds.
	term           uint64
	pendingChanges map[string]roleChange
	lastChange     map[string]time.Time

	mu      sync.Mutex
	choices map[string]string
}

// NewRoleBalancer returns the controller.
func NewRoleBalancer(config RoleBalancerConfig) *RoleBalancer {
	return &RoleBalancer{config: config, pendingChanges: make(map[string]roleChange), lastChange: make(map[string]time.Time), choices: make(map[string]string)}
}

// Choices returns the chosen role of each endpoint whose role was changed.
func (r *RoleBalancer) Choices() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.choices)
}

// RunOnce evaluates the load of each cell and changes the role of at most one engine in it.
func (r *RoleBalancer) RunOnce(ctx context.Context) {
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
	for cell, engines := range r.groupByCell(views) {
		movable := slices.DeleteFunc(slices.Clone(engines), func(v dispatch.EndpointView) bool {
			setting := settings[v.Announcement.Name]
			return setting.Role != "" || setting.Drain
		})
		r.balanceCell(cell, engines, movable)
	}
}

// reset discards all choices: a new leader starts from the observed roles and keeps them until the load
// has called for a change throughout the stabilisation window.
func (r *RoleBalancer) reset(term uint64) {
	r.term = term
	clear(r.pendingChanges)
	clear(r.lastChange)
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.choices)
}

// groupByCell groups the ready engines that have one of the two roles by region and first model.
func (r *RoleBalancer) groupByCell(views []dispatch.EndpointView) map[string][]dispatch.EndpointView {
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

// balanceCell chooses another role for one engine of the cell if the load has called for it long enough.
func (r *RoleBalancer) balanceCell(cell string, engines, movable []dispatch.EndpointView) {
	now := r.config.Now()
	from, to := requiredRoleChange(engines)
	if from == "" {
		delete(r.pendingChanges, cell)
		return
	}
	if pending := r.pendingChanges[cell]; pending.from != from {
		r.pendingChanges[cell] = roleChange{from: from, to: to, since: now}
	}
	lastChange, changedBefore := r.lastChange[cell]
	if now.Sub(r.pendingChanges[cell].since) < stabilisationWindow || (changedBefore && now.Sub(lastChange) < roleCooldown) {
		return
	}
	name, ok := leastLoaded(engines, movable, from)
	if !ok {
		return
	}
	delete(r.pendingChanges, cell)
	r.lastChange[cell] = now
	r.mu.Lock()
	r.choices[name] = to
	r.mu.Unlock()
	r.config.Logger.Info("Changed a role", zap.String("cell", cell), zap.String("endpoint", name), zap.String("role", to))
}

// requiredRoleChange returns the current and the new role of the engine that should change, or empty strings
// if none should.
func requiredRoleChange(engines []dispatch.EndpointView) (from, to string) {
	var queuedTokens, prefillRate, used, memory float64
	for _, v := range engines {
		load := v.Announcement.Load
		if v.Announcement.Role == Prefill {
			queuedTokens += float64(load.QueuedPrefill)
			prefillRate += load.PrefillRate
			continue
		}
		used += float64(load.Used)
		memory += float64(v.Announcement.Memory)
	}
	if prefillRate == 0 || memory == 0 {
		return "", "" // one of the roles has no engine, or reports no rate
	}
	queueTime, memoryUse := queuedTokens/prefillRate, used/memory
	switch {
	case queueTime > longPrefillQueue.Seconds() && memoryUse < lowMemoryUse:
		return Decode, Prefill
	case queueTime < shortPrefillQueue.Seconds() && memoryUse > highMemoryUse:
		return Prefill, Decode
	default:
		return "", ""
	}
}

// leastLoaded returns the movable engine with the least work among those of a role. It returns false
// when there is none, or when it is the only engine of the role.
func leastLoaded(engines, movable []dispatch.EndpointView, role string) (string, bool) {
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
