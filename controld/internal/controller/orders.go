package controller

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/logging"
)

const (
	// The control leader's lease lasts 270 ms and is renewed by a heartbeat every 50 ms, so an order must
	// complete within 200 ms. Engines respond to an order before they start to load.
	defaultOrderTimeout = 150 * time.Millisecond
	// defaultLeaderLease is the maximum election timeout; no lease of a previous leader is longer.
	defaultLeaderLease = 600 * time.Millisecond
	// clockSkewShare is the fraction of a lease by which two clocks may drift apart during the lease.
	clockSkewShare  = 0.1
	defaultMaxLoads = 4
	// defaultSweepInterval bounds how long a state that no announcement shows can stay undetected. With
	// 7,700 engines it causes 257 requests per second.
	defaultSweepInterval = 30 * time.Second
	stateTimeout         = time.Second
	// maxConcurrentCalls bounds the concurrent requests to engines.
	maxConcurrentCalls = 64
	// shortageDelay is how long a model must lack replicas before another engine is assigned to it. It
	// allows for a new dispatcher that has not received all announcements yet, and for the restart of an
	// endpoint.
	shortageDelay = 10 * time.Second
	// unavailableDivisor limits the replicas of a model that may load at a time to a quarter of them.
	// Without this limit a roll-out with 4 concurrent loads left 2 of 6 replicas ready.
	unavailableDivisor = 4
	// orderBackOff is the time before an engine that did not accept an order gets the next one. It limits
	// the log output when, for example, the clocks of many engines are wrong.
	orderBackOff = 5 * time.Second
	// pendingLoadTimeout is how long an engine whose state cannot be read after an order to load counts as
	// loading, and how long a new leader assigns no engines while a load that it did not order runs.
	pendingLoadTimeout = 5 * time.Minute
)

// ReconcilerConfig configures a Reconciler.
type ReconcilerConfig struct {
	Lease         Lease
	Configuration Configuration
	Fleet         Fleet
	Engines       Engines
	// Roles chooses the roles of engines for which the operators have not set one; may be nil.
	Roles interface{ Choices() map[string]string }
	// OrderTimeout is the time from sending an order to its deadline; 0 means 150 ms. It must be
	// shorter than the rest of the leader's lease at any time between two heartbeats.
	OrderTimeout time.Duration
	// LeaderLease is the maximum length of a leader's lease, from which a new leader derives when the
	// lease of the previous one has expired; 0 means 600 ms.
	LeaderLease time.Duration
	// MaxLoads is the number of engines that the weight store can serve at a time; 0 means 4.
	MaxLoads int
	// SweepInterval is the time within which the state of each engine is read; 0 means 30 s.
	SweepInterval time.Duration
	Now           func() time.Time
	Logger        *zap.Logger
}

// pendingLoad is an order to load whose completion has not been observed yet.
type pendingLoad struct {
	target target
	sentAt time.Time
}

// Reconciler reconciles the engines with the declared state: it sends an order to each engine whose
// observed state differs from the desired one. Each round waits for the responses to its orders, or for
// their deadlines, so that an engine has at most one outstanding order.
type Reconciler struct {
	config ReconcilerConfig

	// The following fields are used only by the goroutine that runs the rounds.
	term         uint64
	termStart    time.Time
	lastRead     map[string]time.Time
	pendingLoads map[string]pendingLoad
	wasLoading   map[string]bool
	shortSince   map[string]time.Time // by model, when it began to lack replicas
	lastFailure  map[string]time.Time // by engine, the last order that was not accepted
}

// NewReconciler returns the controller.
func NewReconciler(config ReconcilerConfig) *Reconciler {
	config.OrderTimeout = cmp.Or(config.OrderTimeout, defaultOrderTimeout)
	config.LeaderLease = cmp.Or(config.LeaderLease, defaultLeaderLease)
	config.MaxLoads = cmp.Or(config.MaxLoads, defaultMaxLoads)
	config.SweepInterval = cmp.Or(config.SweepInterval, defaultSweepInterval)
	return &Reconciler{
		config: config, lastRead: make(map[string]time.Time), pendingLoads: make(map[string]pendingLoad),
		wasLoading: make(map[string]bool), shortSince: make(map[string]time.Time), lastFailure: make(map[string]time.Time),
	}
}

// plannedOrder is an order that a round has decided to send; isLoad tells whether the engine must load
// for it.
type plannedOrder struct {
	engine engine
	target target
	isLoad bool
}

// RunOnce observes the engines and sends the orders that are due.
func (r *Reconciler) RunOnce(ctx context.Context) {
	if !r.checkLeadership() {
		return
	}
	views, complete := r.config.Fleet.Endpoints(ctx)
	conf := r.config.Configuration.Configuration()
	var roles map[string]string
	if r.config.Roles != nil {
		roles = r.config.Roles.Choices()
	}
	engines := r.announcedEngines(views)
	for i := range engines {
		engines[i].drained = conf.Drained(engines[i].name, engines[i].dataCentre)
	}
	mayAssign := r.updateShortages(conf, engines, complete)
	desired := plan(conf, roles, engines, mayAssign)
	// The sweep can reveal a difference that no announcement shows. The second pass then reads the state of
	// the other engines of the model, because an order depends on their readiness.
	for _, sweep := range []bool{true, false} {
		if !r.poll(ctx, engines, desired, sweep) {
			break
		}
		desired = plan(conf, roles, engines, mayAssign)
	}
	r.sendOrders(ctx, r.decide(conf, engines, desired))
}

// updateShortages records since when models lack replicas. It returns a function that reports whether
// further engines may be assigned to a model.
func (r *Reconciler) updateShortages(conf configuration.Configuration, engines []engine, complete bool) func(model string) bool {
	now := r.config.Now()
	replicaCount := make(map[string]int)
	for _, model := range modelByEngine(conf.Models, engines) {
		replicaCount[model]++
	}
	for name, model := range conf.Models {
		_, known := r.shortSince[name]
		switch {
		case replicaCount[name] >= model.Replicas:
			delete(r.shortSince, name)
		case !known:
			r.shortSince[name] = now
		}
	}
	unsettled := now.Sub(r.termStart) < pendingLoadTimeout && hasUnknownLoad(conf.Models, engines)
	return func(model string) bool {
		since, known := r.shortSince[model]
		return known && complete && !unsettled && now.Sub(since) >= shortageDelay
	}
}

// checkLeadership reports whether this instance is the leader. When the term has changed it discards what
// earlier terms recorded, which is out of date.
func (r *Reconciler) checkLeadership() bool {
	remaining, term := r.config.Lease.LeaderLease()
	if remaining <= 0 {
		r.term = 0
		return false
	}
	if term != r.term {
		r.term, r.termStart = term, r.config.Now()
		clear(r.lastRead)
		clear(r.pendingLoads)
		clear(r.wasLoading)
		clear(r.shortSince)
		clear(r.lastFailure)
	}
	for name, sent := range r.pendingLoads {
		if r.config.Now().Sub(sent.sentAt) > pendingLoadTimeout {
			delete(r.pendingLoads, name)
		}
	}
	return true
}

// announcedEngines lists the engines with the state that they announce, sorted by name.
func (r *Reconciler) announcedEngines(views []dispatch.EndpointView) []engine {
	engines := make([]engine, 0, len(views))
	for _, view := range sortedByName(views) {
		a := view.Announcement
		if a.Type != endpoint.Engine || a.State == endpoint.Leaving {
			continue
		}
		engines = append(engines, engine{
			name: a.Name, address: a.Address, region: a.Region, dataCentre: a.DataCentre, checksFencing: a.ChecksFencing, announcedState: a.State,
			pendingTarget: r.pendingLoads[a.Name].target,
			state: endpoint.PlatformState{
				Models: a.Models, Version: a.Version, Adapters: a.Adapters, Role: a.Role, Loading: r.wasLoading[a.Name],
			},
		})
	}
	return engines
}

// poll reads the state of the engines that may need an order and of all others with the same model.
// With sweep it also reads those whose next sweep is due. It reports whether it attempted any read.
func (r *Reconciler) poll(ctx context.Context, engines []engine, desired map[string]target, sweep bool) bool {
	now := r.config.Now()
	affectedModels := make(map[string]bool)
	for _, e := range engines {
		if t, ok := desired[e.name]; ok && (!e.matches(t) || e.state.Loading) {
			affectedModels[t.model] = true
			for _, model := range e.state.Models {
				affectedModels[model] = true
			}
		}
	}
	var due []*engine
	for i := range engines {
		e := &engines[i]
		if e.polled {
			continue
		}
		if (sweep && !now.Before(r.nextSweep(e.name))) || affectedModels[desired[e.name].model] ||
			slices.ContainsFunc(e.state.Models, func(model string) bool { return affectedModels[model] }) {
			due = append(due, e)
		}
	}
	forEach(due, func(e **engine) { r.readState(ctx, *e) })
	for _, e := range due {
		if e.polled {
			r.recordState(e, now)
		}
	}
	return len(due) > 0
}

// nextSweep returns when the state of an engine must be read again. The interval depends on the name of
// the engine, so that engines first read in the same round are spread over later rounds.
func (r *Reconciler) nextSweep(name string) time.Time {
	const steps = 1024
	fraction := (1 + float64(xxhash.Sum64String(name)%steps)/steps) / 2
	return r.lastRead[name].Add(time.Duration(fraction * float64(r.config.SweepInterval)))
}

func (r *Reconciler) readState(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := r.config.Engines.State(ctx, e.address)
	if err != nil {
		r.config.Logger.Warn("Cannot read the state of an endpoint", zap.String(logging.Endpoint, e.name), zap.Error(err))
		return
	}
	e.state, e.polled = state, true
}

// recordState keeps the part of an observed state that later rounds need. An order to load is no longer
// pending once the engine has finished loading or has the ordered state.
func (r *Reconciler) recordState(e *engine, now time.Time) {
	r.lastRead[e.name] = now
	ended := r.wasLoading[e.name] && !e.state.Loading
	if ended || (!e.state.Loading && !e.needsLoad(e.pendingTarget)) {
		delete(r.pendingLoads, e.name)
		e.pendingTarget = target{}
	}
	r.wasLoading[e.name] = e.state.Loading
}

// decide returns the orders of this round. It includes only engines whose state was read in this round,
// and keeps to the limits on concurrent loads and on unavailable replicas of a model.
func (r *Reconciler) decide(conf configuration.Configuration, engines []engine, desired map[string]target) []plannedOrder {
	var orders []plannedOrder
	loadCount := r.countLoads(engines)
	taken := make(map[string]bool)
	for _, e := range engines {
		t, ok := desired[e.name]
		if !ok || !e.polled || e.state.Loading || r.backingOff(e.name) || !r.safeToOrder(e) {
			continue
		}
		if e.matches(t) && !r.needsNewToken(e) {
			continue
		}
		next := plannedOrder{engine: e, target: t, isLoad: e.needsLoad(t)}
		// An order that is sent again is already included in loadCount.
		resent := e.pendingTarget.model != ""
		if next.isLoad && ((loadCount >= r.config.MaxLoads && !resent) || exceedsUnavailableLimit(conf, e, engines, taken)) {
			continue
		}
		if next.isLoad {
			taken[e.name] = true
		}
		if next.isLoad && !resent {
			loadCount++
		}
		orders = append(orders, next)
	}
	return orders
}

// backingOff reports whether the engine failed to accept an order within the last orderBackOff.
func (r *Reconciler) backingOff(name string) bool {
	lastFailure, known := r.lastFailure[name]
	return known && r.config.Now().Sub(lastFailure) < orderBackOff
}

// safeToOrder reports whether an order of a previous leader can no longer take effect after one of this
// leader. An engine that checks the fencing token refuses such orders. For any other engine, the previous
// lease must have expired and the deadline of an order sent at its very end must have passed.
func (r *Reconciler) safeToOrder(e engine) bool {
	if e.state.FencingToken > r.term {
		r.config.Logger.Warn("A newer leader gave orders", zap.String(logging.Endpoint, e.name), zap.Uint64("fencing-token", e.state.FencingToken))
		return false
	}
	if e.checksFencing {
		return true
	}
	skew := time.Duration(clockSkewShare * float64(r.config.LeaderLease))
	wait := r.config.LeaderLease + skew + r.config.OrderTimeout
	return !r.config.Now().Before(r.termStart.Add(wait))
}

// needsNewToken reports whether an engine that checks fencing tokens still accepts orders of a previous
// leader. An order that changes nothing gives it the new token.
func (r *Reconciler) needsNewToken(e engine) bool {
	return e.checksFencing && e.state.FencingToken < r.term
}

// countLoads counts the engines that load or that have been ordered to.
func (r *Reconciler) countLoads(engines []engine) int {
	count := 0
	for _, e := range engines {
		if e.state.Loading || e.pendingTarget.model != "" {
			count++
		}
	}
	return count
}

// exceedsUnavailableLimit reports whether an order to load would leave a declared model that the engine
// serves without a ready replica, or with too many replicas not ready (see unavailableDivisor). An engine
// that is not ready for any declared model may always load. taken holds the engines that get an order to
// load in this round.
func exceedsUnavailableLimit(conf configuration.Configuration, e engine, engines []engine, taken map[string]bool) bool {
	for _, model := range e.state.Models {
		if _, declared := conf.Models[model]; !declared || !e.ready(model) {
			continue
		}
		replicas, otherReady := 0, 0
		for _, other := range engines {
			if other.drained || !slices.Contains(other.state.Models, model) {
				continue
			}
			replicas++
			if other.name != e.name && !taken[other.name] && other.ready(model) {
				otherReady++
			}
		}
		if otherReady < max(1, replicas-max(1, replicas/unavailableDivisor)) {
			return true
		}
	}
	return false
}

// sendOrders sends the orders and waits until each engine has responded or the deadline has passed.
func (r *Reconciler) sendOrders(ctx context.Context, orders []plannedOrder) {
	var mu sync.Mutex
	forEach(orders, func(next *plannedOrder) {
		// The lease is read immediately before each order, since planning may have taken long. The
		// deadline counts from the time before that read, so that it does not exceed the lease.
		now := r.config.Now()
		remaining, term := r.config.Lease.LeaderLease()
		if remaining < r.config.OrderTimeout || term != r.term {
			return
		}
		if next.isLoad {
			mu.Lock()
			r.pendingLoads[next.engine.name] = pendingLoad{target: next.target, sentAt: now}
			mu.Unlock()
		}
		err := r.sendOrder(ctx, *next, now.Add(r.config.OrderTimeout))
		logger := r.config.Logger.With(zap.String(logging.Endpoint, next.engine.name), zap.String("model", next.target.model), zap.String("version", next.target.version))
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			delete(r.lastFailure, next.engine.name)
			logger.Info("Sent an order", zap.Bool("load", next.isLoad))
			return
		}
		r.lastFailure[next.engine.name] = now
		logger.Warn("An order was not accepted", zap.Error(err))
		if fault.Is(err, endpoint.Refused) {
			delete(r.pendingLoads, next.engine.name)
		}
	})
}

func (r *Reconciler) sendOrder(ctx context.Context, next plannedOrder, deadline time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.OrderTimeout)
	defer cancel()
	state := next.engine.state
	engineOrder := endpoint.Order{
		ID:           rand.Text(),
		FencingToken: r.term,
		Deadline:     deadline.UnixMilli(),
		Models:       state.Models,
		Version:      state.Version,
		Adapters:     state.Adapters,
		Role:         cmp.Or(next.target.role, state.Role),
	}
	// Without a load, the lists are sent as the engine reported them: the same items in another sequence
	// could make it load.
	if next.isLoad {
		engineOrder.Version, engineOrder.Adapters = next.target.version, next.target.adapters
	}
	if next.isLoad && !slices.Contains(state.Models, next.target.model) {
		engineOrder.Models = []string{next.target.model}
	}
	return r.config.Engines.Order(ctx, next.engine.address, engineOrder)
}

// forEach calls do concurrently for each item, at most maxConcurrentCalls at a time, and waits for all.
func forEach[T any](items []T, do func(*T)) {
	var calls sync.WaitGroup
	permits := make(chan struct{}, maxConcurrentCalls)
	for i := range items {
		permits <- struct{}{}
		calls.Go(func() {
			defer func() { <-permits }()
			do(&items[i])
		})
	}
	calls.Wait()
}

// sortedByName returns each endpoint once, sorted by name. It returns pointers because the views are
// large to copy.
func sortedByName(views []dispatch.EndpointView) []*dispatch.EndpointView {
	sorted := make([]*dispatch.EndpointView, len(views))
	for i := range views {
		sorted[i] = &views[i]
	}
	slices.SortFunc(sorted, func(a, b *dispatch.EndpointView) int {
		return cmp.Compare(a.Announcement.Name, b.Announcement.Name)
	})
	return slices.CompactFunc(sorted, func(a, b *dispatch.EndpointView) bool {
		return a.Announcement.Name == b.Announcement.Name
	})
}
