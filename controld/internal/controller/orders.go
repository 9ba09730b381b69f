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
	// The control leader's lease lasts 270 ms from a heartbeat every 50 ms, so an order must be done
	// within 200 ms. Engines answer an order before they load.
	defaultOrderTimeout = 150 * time.Millisecond
	// defaultLeaderLease is the longest election timeout, which no lease of an old leader exceeds.
	defaultLeaderLease = 600 * time.Millisecond
	// skewShare is the part of a lease by which clocks may differ in speed while it runs.
	skewShare       = 0.1
	defaultMaxLoads = 4
	// defaultSweep bounds how long a state that no announcement shows can go unseen; at 7,700
	// engines it means 257 requests a second.
	defaultSweep = 30 * time.Second
	stateTimeout = time.Second
	// maxCalls bounds the concurrent requests to engines.
	maxCalls = 64
	// lackBefore is how long a model must lack replicas before another engine is given to it. It covers
	// a new dispatcher that has not heard of all endpoints yet, and the restart of an endpoint.
	lackBefore = 10 * time.Second
	// unavailableShare of the replicas of a model, a quarter, may load at a time: without that bound a
	// roll-out with 4 loads at a time left 2 of 6 replicas ready.
	unavailableShare = 4
	// failurePause is the time between orders to an engine that does not accept them. It bounds the log
	// lines when, for example, the clocks of many engines are wrong.
	failurePause = 5 * time.Second
	// loadMemory is how long an engine that does not answer after an order to load counts as loading.
	loadMemory = 5 * time.Minute
)

// OrdersConfig sets up Orders.
type OrdersConfig struct {
	Lease         Lease
	Configuration Configuration
	Fleet         Fleet
	Engines       Engines
	// Roles chooses roles for engines without a setting of the operators; may be nil.
	Roles interface{ Choices() map[string]string }
	// OrderTimeout is the time from sending an order to its deadline; 0 means 150 ms. It must be
	// shorter than what is left of the leader's lease between two heartbeats.
	OrderTimeout time.Duration
	// LeaderLease is the length of the leader's lease, by which a new leader knows when the old one's
	// ended; 0 means 600 ms.
	LeaderLease time.Duration
	// MaxLoads is the number of engines that the weight store can serve at a time; 0 means 4.
	MaxLoads int
	// Sweep is the time within which the state of each engine is read; 0 means 30 s.
	Sweep  time.Duration
	Now    func() time.Time
	Logger *zap.Logger
}

// load is an order to load that was sent.
type load struct {
	target target
	at     time.Time
}

// Orders compares the wanted with the observed state of the engines and orders what differs. Each
// round waits for the answers to its orders, or for their deadlines, so that an engine has at most
// one order at a time.
type Orders struct {
	config OrdersConfig

	// The following belong to the goroutine that runs the rounds.
	term      uint64
	termSince time.Time
	polledAt  map[string]time.Time
	loads     map[string]load
	loading   map[string]bool
	lacking   map[string]time.Time // by model, since when
	failed    map[string]time.Time // by engine, the last order that was not accepted
}

// NewOrders returns the controller.
func NewOrders(config OrdersConfig) *Orders {
	config.OrderTimeout = cmp.Or(config.OrderTimeout, defaultOrderTimeout)
	config.LeaderLease = cmp.Or(config.LeaderLease, defaultLeaderLease)
	config.MaxLoads = cmp.Or(config.MaxLoads, defaultMaxLoads)
	config.Sweep = cmp.Or(config.Sweep, defaultSweep)
	return &Orders{
		config: config, polledAt: make(map[string]time.Time), loads: make(map[string]load),
		loading: make(map[string]bool), lacking: make(map[string]time.Time), failed: make(map[string]time.Time),
	}
}

// order is an order that a round has decided on.
type order struct {
	engine engine
	target target
	load   bool
}

// Round observes the engines and sends the orders that are due.
func (o *Orders) Round(ctx context.Context) {
	if !o.leads() {
		return
	}
	views, complete := o.config.Fleet.Endpoints(ctx)
	conf := o.config.Configuration.Configuration()
	var roles map[string]string
	if o.config.Roles != nil {
		roles = o.config.Roles.Choices()
	}
	engines := o.announced(views)
	for i := range engines {
		engines[i].drained = conf.Endpoints[engines[i].name].Drain
	}
	mayAssign := o.lacks(conf, engines, complete)
	wanted := plan(conf, roles, engines, mayAssign)
	// The sweep can find a difference that no announcement shows; the second pass then reads the other
	// engines of the model, on whose readiness an order depends.
	for _, sweep := range []bool{true, false} {
		if !o.poll(ctx, engines, wanted, sweep) {
			break
		}
		wanted = plan(conf, roles, engines, mayAssign)
	}
	o.send(ctx, o.decide(conf, engines, wanted))
}

// lacks notes since when models lack replicas, and returns whether a model may be given engines.
func (o *Orders) lacks(conf configuration.Configuration, engines []engine, complete bool) func(model string) bool {
	now := o.config.Now()
	count := make(map[string]int)
	for _, model := range servingOf(conf.Models, engines) {
		count[model]++
	}
	for name, model := range conf.Models {
		_, known := o.lacking[name]
		switch {
		case count[name] >= model.Replicas:
			delete(o.lacking, name)
		case !known:
			o.lacking[name] = now
		}
	}
	unsettled := now.Sub(o.termSince) < loadMemory && unknownLoad(conf.Models, engines)
	return func(model string) bool {
		since, known := o.lacking[model]
		return known && complete && !unsettled && now.Sub(since) >= lackBefore
	}
}

// leads starts anew with each term: what an earlier term of this instance remembered is old.
func (o *Orders) leads() bool {
	remaining, term := o.config.Lease.LeaderLease()
	if remaining <= 0 {
		o.term = 0
		return false
	}
	if term != o.term {
		o.term, o.termSince = term, o.config.Now()
		clear(o.polledAt)
		clear(o.loads)
		clear(o.loading)
		clear(o.lacking)
		clear(o.failed)
	}
	for name, sent := range o.loads {
		if o.config.Now().Sub(sent.at) > loadMemory {
			delete(o.loads, name)
		}
	}
	return true
}

// announced lists the engines with the state that they announce, sorted by name.
func (o *Orders) announced(views []dispatch.EndpointView) []engine {
	engines := make([]engine, 0, len(views))
	for _, view := range sortedByName(views) {
		a := view.Announcement
		if a.Type != endpoint.Engine || a.State == endpoint.Leaving {
			continue
		}
		engines = append(engines, engine{
			name: a.Name, address: a.Address, region: a.Region, checksFencing: a.ChecksFencing, announced: a.State,
			ordered: o.loads[a.Name].target,
			state: endpoint.PlatformState{
				Models: a.Models, Version: a.Version, Adapters: a.Adapters, Role: a.Role, Loading: o.loading[a.Name],
			},
		})
	}
	return engines
}

// poll reads the state of the engines that may need an order, of all others with the same model, and
// with sweep, of those that were not read for the sweep interval. It reports whether it read any.
func (o *Orders) poll(ctx context.Context, engines []engine, wanted map[string]target, sweep bool) bool {
	now := o.config.Now()
	differing := make(map[string]bool)
	for _, e := range engines {
		if t, ok := wanted[e.name]; ok && (!e.agrees(t) || e.state.Loading) {
			differing[t.model] = true
			for _, model := range e.state.Models {
				differing[model] = true
			}
		}
	}
	var due []*engine
	for i := range engines {
		e := &engines[i]
		if e.polled {
			continue
		}
		if (sweep && !now.Before(o.sweepAt(e.name))) || differing[wanted[e.name].model] ||
			slices.ContainsFunc(e.state.Models, func(model string) bool { return differing[model] }) {
			due = append(due, e)
		}
	}
	each(due, func(e **engine) { o.read(ctx, *e) })
	for _, e := range due {
		if e.polled {
			o.remember(e, now)
		}
	}
	return len(due) > 0
}

// sweepAt is when the state of an engine must be read again. Engines differ in it, so that those first
// read in the same round are not all read in the same later one.
func (o *Orders) sweepAt(name string) time.Time {
	const steps = 1024
	share := (1 + float64(xxhash.Sum64String(name)%steps)/steps) / 2
	return o.polledAt[name].Add(time.Duration(share * float64(o.config.Sweep)))
}

func (o *Orders) read(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := o.config.Engines.State(ctx, e.address)
	if err != nil {
		o.config.Logger.Warn("Cannot read the state of an endpoint", zap.String(logging.Endpoint, e.name), zap.Error(err))
		return
	}
	e.state, e.polled = state, true
}

// remember keeps what later rounds need of an observation. An order to load is forgotten once the
// engine has ended a load or has the ordered state.
func (o *Orders) remember(e *engine, now time.Time) {
	o.polledAt[e.name] = now
	ended := o.loading[e.name] && !e.state.Loading
	if ended || (!e.state.Loading && !e.needsLoad(e.ordered)) {
		delete(o.loads, e.name)
		e.ordered = target{}
	}
	o.loading[e.name] = e.state.Loading
}

// decide returns the orders of this round: only to engines whose state was read in it, within the
// bound on loads, and none that takes too many ready replicas of a model.
func (o *Orders) decide(conf configuration.Configuration, engines []engine, wanted map[string]target) []order {
	var orders []order
	loads := o.runningLoads(engines)
	taken := make(map[string]bool)
	for _, e := range engines {
		t, ok := wanted[e.name]
		if !ok || !e.polled || e.state.Loading || o.pauses(e.name) || !o.mayOrder(e) {
			continue
		}
		if e.agrees(t) && !o.unfenced(e) {
			continue
		}
		next := order{engine: e, target: t, load: e.needsLoad(t)}
		// An order that is sent again is counted in loads already.
		again := e.ordered.model != ""
		if next.load && ((loads >= o.config.MaxLoads && !again) || takesTooMany(conf, e, engines, taken)) {
			continue
		}
		if next.load {
			taken[e.name] = true
		}
		if next.load && !again {
			loads++
		}
		orders = append(orders, next)
	}
	return orders
}

func (o *Orders) pauses(name string) bool {
	failed, known := o.failed[name]
	return known && o.config.Now().Sub(failed) < failurePause
}

// mayOrder reports whether orders of an earlier leader can no longer overtake one of this leader's.
// An engine that checks the token refuses them. For one that does not, the old lease must have
// ended, and the deadline of an order that was sent at its end must have passed.
func (o *Orders) mayOrder(e engine) bool {
	if e.state.FencingToken > o.term {
		o.config.Logger.Warn("A newer leader gave orders", zap.String(logging.Endpoint, e.name), zap.Uint64("fencing-token", e.state.FencingToken))
		return false
	}
	if e.checksFencing {
		return true
	}
	skew := time.Duration(skewShare * float64(o.config.LeaderLease))
	wait := o.config.LeaderLease + skew + o.config.OrderTimeout
	return !o.config.Now().Before(o.termSince.Add(wait))
}

// unfenced reports whether the engine would still carry out orders of an earlier leader, although
// it can refuse them. An order that changes nothing tells it the new token.
func (o *Orders) unfenced(e engine) bool {
	return e.checksFencing && e.state.FencingToken < o.term
}

func (o *Orders) runningLoads(engines []engine) int {
	count := 0
	for _, e := range engines {
		if e.state.Loading || e.ordered.model != "" {
			count++
		}
	}
	return count
}

// takesTooMany reports whether an order to load would leave a declared model that the engine serves
// without a ready replica, or with more than a share of its replicas not ready. An engine that serves
// none now can always be taken.
func takesTooMany(conf configuration.Configuration, e engine, engines []engine, taken map[string]bool) bool {
	for _, model := range e.state.Models {
		if _, declared := conf.Models[model]; !declared || !e.ready(model) {
			continue
		}
		replicas, others := 0, 0
		for _, other := range engines {
			if other.drained || !slices.Contains(other.state.Models, model) {
				continue
			}
			replicas++
			if other.name != e.name && !taken[other.name] && other.ready(model) {
				others++
			}
		}
		if others < max(1, replicas-max(1, replicas/unavailableShare)) {
			return true
		}
	}
	return false
}

// send gives the orders and waits until each is answered or its deadline has passed.
func (o *Orders) send(ctx context.Context, orders []order) {
	var mu sync.Mutex
	each(orders, func(next *order) {
		// The lease is read immediately before each order: planning may have taken long.
		// The deadline counts from before that, so that it does not outlast the lease.
		now := o.config.Now()
		remaining, term := o.config.Lease.LeaderLease()
		if remaining < o.config.OrderTimeout || term != o.term {
			return
		}
		if next.load {
			mu.Lock()
			o.loads[next.engine.name] = load{target: next.target, at: now}
			mu.Unlock()
		}
		err := o.give(ctx, *next, now.Add(o.config.OrderTimeout))
		logger := o.config.Logger.With(zap.String(logging.Endpoint, next.engine.name), zap.String("model", next.target.model), zap.String("version", next.target.version))
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			delete(o.failed, next.engine.name)
			logger.Info("Gave an order", zap.Bool("load", next.load))
			return
		}
		o.failed[next.engine.name] = now
		logger.Warn("An order was not accepted", zap.Error(err))
		if fault.Is(err, endpoint.Refused) {
			delete(o.loads, next.engine.name)
		}
	})
}

func (o *Orders) give(ctx context.Context, next order, deadline time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, o.config.OrderTimeout)
	defer cancel()
	state := next.engine.state
	out := endpoint.Order{
		ID:           rand.Text(),
		FencingToken: o.term,
		Deadline:     deadline.UnixMilli(),
		Models:       state.Models,
		Version:      state.Version,
		Adapters:     state.Adapters,
		Role:         cmp.Or(next.target.role, state.Role),
	}
	// Without a load, the engine's own lists are repeated: another order of them could make it load.
	if next.load {
		out.Version, out.Adapters = next.target.version, next.target.adapters
	}
	if next.load && !slices.Contains(state.Models, next.target.model) {
		out.Models = []string{next.target.model}
	}
	return o.config.Engines.Order(ctx, next.engine.address, out)
}

// each calls do for each item, at most maxCalls at a time, and waits for all.
func each[T any](items []T, do func(*T)) {
	var calls sync.WaitGroup
	permits := make(chan struct{}, maxCalls)
	for i := range items {
		permits <- struct{}{}
		calls.Go(func() {
			defer func() { <-permits }()
			do(&items[i])
		})
	}
	calls.Wait()
}

// sortedByName returns each endpoint once. It returns pointers, since views are large to move.
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
