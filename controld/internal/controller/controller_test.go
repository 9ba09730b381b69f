package controller_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/controld/internal/controller"
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// A fixed seed makes the property tests reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// fakeEngine executes orders. A load takes the loadTime of the simulation; until then the engine is not
// ready.
type fakeEngine struct {
	announcement endpoint.Announcement
	state        endpoint.PlatformState
	nextOrder    endpoint.Order
	// visibleAt is when the reported state starts to show that the engine loads.
	visibleAt time.Time
	loadedAt  time.Time
	received  []endpoint.Order
}

// simulation holds the engines and a clock that advances only by calls of advance. Engines show a load in
// their state after visibilityDelay. incomplete means that a dispatcher does not reply.
type simulation struct {
	mu              sync.Mutex
	now             time.Time
	loadTime        time.Duration
	visibilityDelay time.Duration
	engines         map[string]*fakeEngine
	incomplete      bool
}

func newSimulation() *simulation {
	return &simulation{now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), loadTime: 3 * time.Second, engines: make(map[string]*fakeEngine)}
}

func (sim *simulation) add(name, model, version string, checksFencing bool) *fakeEngine {
	e := &fakeEngine{
		announcement: endpoint.Announcement{Name: name, Address: name, Region: "north", Type: endpoint.Engine, ChecksFencing: checksFencing, State: endpoint.Ready},
		state:        endpoint.PlatformState{Models: []string{model}, Version: version},
	}
	sim.engines[name] = e
	return e
}

func (sim *simulation) clock() time.Time {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.now
}

func (sim *simulation) advance(d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.now = sim.now.Add(d)
	for _, e := range sim.engines {
		if e.state.Loading && !sim.now.Before(e.loadedAt) {
			e.state.Loading, e.state.Models, e.state.Version, e.state.Role = false, e.nextOrder.Models, e.nextOrder.Version, e.nextOrder.Role
		}
	}
}

func (sim *simulation) deliver(name string, order endpoint.Order) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e := sim.engines[name]
	if e.announcement.ChecksFencing && order.FencingToken < e.state.FencingToken {
		return fault.New("order", endpoint.Refused, "old token")
	}
	if e.announcement.ChecksFencing {
		e.state.FencingToken = order.FencingToken
	}
	e.received = append(e.received, order)
	if slices.Equal(order.Models, e.state.Models) && order.Version == e.state.Version {
		e.state.Role = order.Role
		return nil
	}
	if e.state.Loading && slices.Equal(order.Models, e.nextOrder.Models) && order.Version == e.nextOrder.Version {
		return nil
	}
	e.nextOrder, e.state.Loading = order, true
	e.visibleAt, e.loadedAt = sim.now.Add(sim.visibilityDelay), sim.now.Add(sim.visibilityDelay+sim.loadTime)
	return nil
}

func (sim *simulation) countReady(model string) (count int) {
	for _, e := range sim.engines {
		if !e.state.Loading && slices.Contains(e.state.Models, model) {
			count++
		}
	}
	return count
}

func (sim *simulation) countLoading() (count int) {
	for _, e := range sim.engines {
		if e.state.Loading {
			count++
		}
	}
	return count
}

func (sim *simulation) countVersion(model, version string) (count int) {
	for _, e := range sim.engines {
		if !e.state.Loading && slices.Contains(e.state.Models, model) && e.state.Version == version {
			count++
		}
	}
	return count
}

// leader is one control instance's view of the simulation. The network delays the orders of a leader that
// is cut off: they go to heldOrders, from where a test delivers them.
type leader struct {
	*simulation
	term       uint64
	leases     []time.Duration // returned by successive reads of the lease; the last one repeats
	conf       configuration.Configuration
	cutOff     bool
	heldOrders map[string]endpoint.Order
	// refusesOrders makes all engines refuse orders; ordersSent counts the orders.
	refusesOrders bool
	ordersSent    int
}

func newLeader(sim *simulation, term uint64, models ...configuration.Model) *leader {
	l := &leader{simulation: sim, term: term, leases: []time.Duration{time.Hour}, heldOrders: make(map[string]endpoint.Order)}
	l.conf.Models = make(map[string]configuration.Model)
	for _, model := range models {
		l.conf.Models[model.Name] = model
	}
	return l
}

func (l *leader) LeaderLease() (time.Duration, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := l.leases[0]
	if len(l.leases) > 1 {
		l.leases = l.leases[1:]
	}
	return remaining, l.term
}

func (l *leader) Configuration() configuration.Configuration { return l.conf }

func (l *leader) Endpoints(context.Context) (views []dispatch.EndpointView, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.engines {
		a := e.announcement
		a.Models, a.Version, a.Role = e.state.Models, cmp.Or(e.announcement.Version, e.state.Version), e.state.Role
		views = append(views, dispatch.EndpointView{Announcement: a})
	}
	return views, !l.incomplete
}

func (l *leader) State(_ context.Context, address string) (endpoint.PlatformState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.engines[address]
	state := e.state
	state.Loading = state.Loading && !l.now.Before(e.visibleAt)
	return state, nil
}

func (l *leader) Order(_ context.Context, address string, order endpoint.Order) error {
	l.mu.Lock()
	l.ordersSent++
	l.mu.Unlock()
	if l.refusesOrders {
		return fault.New("order", endpoint.Refused, "past its deadline")
	}
	if l.cutOff {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.heldOrders[address] = order
		return fault.New("order", endpoint.Unreachable, "no response")
	}
	return l.deliver(address, order)
}

func (l *leader) newReconciler(maxLoads int) *controller.Reconciler {
	return controller.NewReconciler(controller.ReconcilerConfig{
		Lease: l, Configuration: l, Fleet: l, Engines: l, MaxLoads: maxLoads, Now: l.clock, Logger: zap.NewNop(),
	})
}

// naiveController orders the declared version from each engine and never checks an engine again that has
// accepted the order.
type naiveController struct {
	*leader
	done map[string]bool
}

func (n naiveController) RunOnce(ctx context.Context) {
	for name, e := range n.engines {
		model := n.conf.Models[e.state.Models[0]]
		if !n.done[name] && n.countReady(model.Name) > 1 && e.state.Version != model.Version {
			n.done[name] = n.Order(ctx, name, endpoint.Order{FencingToken: n.term, Models: []string{model.Name}, Version: model.Version}) == nil
		}
	}
}

func runRounds(sim *simulation, c controller.Controller, n int) {
	for range n {
		c.RunOnce(context.Background())
		sim.advance(time.Second)
	}
}

func oakModel(version string, replicas int) configuration.Model {
	return configuration.Model{Name: "oak", Version: version, Replicas: replicas}
}

// Guards against an order of a frozen or cut-off leader that arrives after its successor's orders and
// stays in effect. The naive version shows that this fault occurs in the scenario.
func TestLateOrdersAreCorrected(t *testing.T) {
	for name, test := range map[string]struct {
		checksFencing bool
		next          func(l *leader) controller.Controller
		lateAccepted  bool
		want          int
	}{
		"checks the token":  {true, func(l *leader) controller.Controller { return l.newReconciler(2) }, false, 8},
		"ignores the token": {false, func(l *leader) controller.Controller { return l.newReconciler(2) }, true, 8},
		"naive version":     {false, func(l *leader) controller.Controller { return naiveController{l, make(map[string]bool)} }, true, 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation()
			for i := range 8 {
				sim.add(fmt.Sprint("e", i), "oak", "1", test.checksFencing)
			}
			old := newLeader(sim, 1, oakModel("2", 8))
			old.cutOff = true
			runRounds(sim, old.newReconciler(2), 10)
			is.Equal(len(old.heldOrders), 2)
			next := test.next(newLeader(sim, 2, oakModel("3", 8)))
			runRounds(sim, next, 60)
			is.Equal(sim.countVersion("oak", "3"), 8)
			for engine, order := range old.heldOrders {
				is.Equal(sim.deliver(engine, order) == nil, test.lateAccepted)
			}
			runRounds(sim, next, 60)
			is.Equal(sim.countVersion("oak", "3"), test.want)
		})
	}
}

// Guards against late orders of several earlier leaders that, arriving at any time, prevent the engines
// from reaching the declared state.
func TestEnginesReachDeclaredState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		for i := range rapid.IntRange(2, 6).Draw(t, "engines") {
			sim.add(fmt.Sprint("e", i), "oak", "1", rapid.Bool().Draw(t, "checks"))
		}
		heldOrders := make(map[string][]endpoint.Order)
		var current controller.Controller
		for term := range rapid.IntRange(1, 4).Draw(t, "terms") {
			l := newLeader(sim, uint64(term+1), oakModel(fmt.Sprint(term+2), len(sim.engines)))
			current = l.newReconciler(rapid.IntRange(1, 3).Draw(t, "loads"))
			runRounds(sim, current, rapid.IntRange(0, 20).Draw(t, "rounds"))
			l.cutOff = true
			runRounds(sim, current, rapid.IntRange(0, 8).Draw(t, "rounds cut off"))
			for engine, order := range l.heldOrders {
				heldOrders[engine] = append(heldOrders[engine], order)
			}
			for engine, orders := range heldOrders {
				if rapid.Bool().Draw(t, "deliver") {
					_ = sim.deliver(engine, orders[0]) // the engine may refuse it
					heldOrders[engine] = append(orders[1:], orders[0])
				}
				if len(heldOrders[engine]) == 0 {
					delete(heldOrders, engine)
				}
			}
		}
		last := newLeader(sim, 9, oakModel("last", len(sim.engines)))
		current = last.newReconciler(2)
		runRounds(sim, current, 5)
		for engine, orders := range heldOrders {
			for _, order := range orders {
				_ = sim.deliver(engine, order)
			}
		}
		runRounds(sim, current, 80)
		if got := sim.countVersion("oak", "last"); got != len(sim.engines) {
			t.Fatalf("%d of %d engines have the declared version", got, len(sim.engines))
		}
	})
}

// Guards against a new leader that sends an order while an order of the previous leader can still arrive
// after it, and against engines that still accept orders of the previous leader.
func TestNewLeaderWaits(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.loadTime = 0
	checks, ignores := sim.add("e1", "oak", "1", true), sim.add("e2", "oak", "1", false)
	sim.add("e3", "oak", "2", true)
	reconciler := newLeader(sim, 5, oakModel("2", 3)).newReconciler(3)
	reconciler.RunOnce(t.Context())
	is.Equal(len(checks.received), 1)
	is.Equal(sim.engines["e3"].state.FencingToken, uint64(5)) // gets the new token although its state matches
	sim.advance(809 * time.Millisecond)                       // lease 600 ms, skew 60 ms, order timeout 150 ms
	reconciler.RunOnce(t.Context())
	is.Equal(len(ignores.received), 0)
	sim.advance(time.Millisecond)
	reconciler.RunOnce(t.Context())
	is.Equal(len(ignores.received), 1)
}

// Guards against an instance that becomes leader again and uses what it recorded in its earlier term.
func TestNewTermOfSameLeader(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	e := sim.add("e1", "oak", "1", true)
	l := newLeader(sim, 5, oakModel("1", 1))
	reconciler := l.newReconciler(1)
	reconciler.RunOnce(t.Context())
	l.term = 7
	reconciler.RunOnce(t.Context())
	is.Equal(e.state.FencingToken, uint64(7))
}

// Guards against assigning a second engine to a replica that an engine already loads by order of the
// previous leader.
func TestNewLeaderKeepsRunningLoads(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.loadTime = time.Minute
	sim.add("e1", "undeclared", "1", false)
	spare := sim.add("e2", "undeclared", "1", false)
	is.NoErr(sim.deliver("e1", endpoint.Order{Models: []string{"oak"}, Version: "1"}))
	runRounds(sim, newLeader(sim, 2, oakModel("1", 1)).newReconciler(4), 100)
	is.Equal(sim.countVersion("oak", "1"), 1)
	is.Equal(len(spare.received), 0)
}

// Guards against an order whose deadline lies after the end of its leader's lease.
func TestNoOrderWithoutLease(t *testing.T) {
	for name, test := range map[string]struct {
		leases []time.Duration
		orders int
	}{
		"enough":                    {[]time.Duration{150 * time.Millisecond}, 1},
		"less than the timeout":     {[]time.Duration{149 * time.Millisecond}, 0},
		"does not lead":             {[]time.Duration{0}, 0},
		"ends while the round runs": {[]time.Duration{time.Hour, 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation()
			e := sim.add("e1", "oak", "1", true)
			sim.add("e2", "oak", "1", false)
			l := newLeader(sim, 1, oakModel("2", 2))
			l.leases = test.leases
			l.newReconciler(1).RunOnce(t.Context())
			is.Equal(len(e.received), test.orders)
			if test.orders > 0 {
				is.Equal(e.received[0].Deadline, sim.now.Add(150*time.Millisecond).UnixMilli())
				is.Equal(e.received[0].FencingToken, uint64(1))
			}
		})
	}
}

// Guards against a roll-out that takes the last ready replica of a model out of service, that runs more
// concurrent loads than the weight store can serve, or that never completes.
func TestRollOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		sim.loadTime = time.Duration(rapid.IntRange(0, 8).Draw(t, "load time")) * time.Second
		sim.visibilityDelay = time.Duration(rapid.IntRange(0, 4).Draw(t, "hidden")) * time.Second
		maxLoads := rapid.IntRange(1, 3).Draw(t, "loads")
		names := []string{"ash", "oak", "undeclared"}
		initial := make(map[string]int)
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			model := rapid.SampledFrom(names).Draw(t, "model")
			initial[model]++
			sim.add(fmt.Sprint("e", i), model, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"), rapid.Bool().Draw(t, "checks"))
		}
		var models []configuration.Model
		for _, name := range names[:2] {
			models = append(models, configuration.Model{Name: name, Version: "2", Replicas: rapid.IntRange(0, 4).Draw(t, "replicas")})
		}
		reconciler := newLeader(sim, 1, models...).newReconciler(maxLoads)
		for range 150 {
			runRounds(sim, reconciler, 1)
			if sim.countLoading() > maxLoads {
				t.Fatalf("%d loads at a time; the bound is %d", sim.countLoading(), maxLoads)
			}
			for _, name := range names[:2] {
				if initial[name] > 0 && sim.countReady(name) == 0 {
					t.Fatalf("no replica of %s is ready", name)
				}
			}
		}
		for _, name := range names[:2] {
			if n := sim.countReady(name); n > 1 && sim.countVersion(name, "2") != n {
				t.Fatalf("%d of %d replicas of %s have the declared version", sim.countVersion(name, "2"), n, name)
			}
		}
	})
}

// Guards against sending an order in each round to an engine that refuses them.
func TestRefusedOrdersPause(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.add("e1", "oak", "1", true)
	sim.add("e2", "oak", "2", true)
	l := newLeader(sim, 1, oakModel("2", 2))
	l.refusesOrders = true
	runRounds(sim, l.newReconciler(1), 20)
	is.Equal(l.ordersSent, 8) // each engine at 0, 5, 10 and 15 s
	l.refusesOrders = false
	runRounds(sim, l.newReconciler(1), 10)
	is.Equal(sim.countVersion("oak", "2"), 2)
}

// Guards against a roll-out that takes most replicas of a model out of service at once.
func TestRollOutKeepsCapacity(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	for i := range 8 {
		sim.add(fmt.Sprint("e", i), "oak", "1", true)
	}
	reconciler := newLeader(sim, 1, oakModel("2", 8)).newReconciler(8)
	for range 30 {
		runRounds(sim, reconciler, 1)
		is.True(sim.countReady("oak") >= 6)
	}
	is.Equal(sim.countVersion("oak", "2"), 8)
}

// Guards against a wrong state that the announcements of the engine do not show and that is therefore
// never corrected.
func TestSweep(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.add("e1", "oak", "2", true)
	wrong := sim.add("e2", "oak", "2", true)
	wrong.announcement.Version = "2"
	reconciler := newLeader(sim, 1, oakModel("2", 2)).newReconciler(1)
	runRounds(sim, reconciler, 1)
	wrong.state.Version = "1"
	runRounds(sim, reconciler, 40)
	is.Equal(sim.countVersion("oak", "2"), 2)
}

// Guards against replacing replicas that are only temporarily invisible, because a dispatcher does not
// reply or the engine restarts.
func TestNoReplacementBeforeTime(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	sim.add("e1", "oak", "1", true)
	spare := sim.add("e2", "undeclared", "1", true)
	l := newLeader(sim, 1, oakModel("1", 2))
	reconciler := l.newReconciler(4)
	runRounds(sim, reconciler, 9)
	sim.incomplete = true
	runRounds(sim, reconciler, 20)
	is.Equal(len(spare.received), 0)
	sim.incomplete = false
	runRounds(sim, reconciler, 5)
	is.Equal(sim.countVersion("oak", "1"), 2)
}

// Guards against roles that flap with the load, leave a role without an engine, or override a role that
// the operators have set.
func TestRoles(t *testing.T) {
	for name, test := range map[string]struct {
		queue         int // tokens, with a prefill rate of 1,000 tokens per second
		used          int // memory, of 100
		seconds       int // how long the load lasts
		decodeEngines int
		roleSet       bool
		want          map[string]string
	}{
		"long queue":         {5000, 10, 40, 2, false, map[string]string{"d0": controller.Prefill}},
		"not for long":       {5000, 10, 25, 2, false, map[string]string{}},
		"between the bounds": {1000, 60, 100, 2, false, map[string]string{}},
		"last of its role":   {5000, 10, 100, 1, false, map[string]string{}},
		"set by operators":   {5000, 10, 100, 2, true, map[string]string{}},
		"dwells":             {5000, 10, 140, 4, false, map[string]string{"d0": controller.Prefill}},
		"changes again":      {5000, 10, 160, 4, false, map[string]string{"d0": controller.Prefill, "d1": controller.Prefill}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation()
			p := sim.add("p0", "oak", "1", true)
			p.state.Role = controller.Prefill
			p.announcement.Load = endpoint.Load{QueuedPrefill: test.queue, PrefillRate: 1000}
			l := newLeader(sim, 1)
			l.conf.Endpoints = make(map[string]configuration.EndpointSetting)
			for i := range test.decodeEngines {
				d := sim.add(fmt.Sprint("d", i), "oak", "1", true)
				d.state.Role, d.announcement.Memory, d.announcement.Load.Used = controller.Decode, 100, test.used
				if test.roleSet {
					l.conf.Endpoints[d.announcement.Name] = configuration.EndpointSetting{Role: controller.Decode}
				}
			}
			roles := controller.NewRoleBalancer(controller.RoleBalancerConfig{Lease: l, Configuration: l, Fleet: l, Now: sim.clock, Logger: zap.NewNop()})
			for range test.seconds {
				roles.RunOnce(t.Context())
				for name, role := range roles.Choices() {
					sim.engines[name].state.Role = role
				}
				sim.advance(time.Second)
			}
			is.Equal(roles.Choices(), test.want)
		})
	}
}

// BenchmarkRound measures a round at the two-year target: 7,700 engines and 24 models.
func BenchmarkRound(b *testing.B) {
	for name, version := range map[string]string{"steady": "1", "roll-out": "2"} {
		b.Run(name, func(b *testing.B) {
			sim := newSimulation()
			sim.loadTime = time.Hour
			var models []configuration.Model
			for i := range 24 {
				models = append(models, configuration.Model{Name: fmt.Sprint("m", i), Version: version, Replicas: 300})
			}
			for i := range 7700 {
				sim.add(fmt.Sprint("e", i), fmt.Sprint("m", i%24), "1", true)
			}
			reconciler := newLeader(sim, 1, models...).newReconciler(4)
			runRounds(sim, reconciler, 2)
			for b.Loop() {
				runRounds(sim, reconciler, 1)
			}
		})
	}
}

type countingController struct{ rounds int }

func (c *countingController) RunOnce(context.Context) { c.rounds++ }

// Guards against a loop that continues after its context is done or whose end cannot be awaited.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var c countingController
		ended := task.Start(ctx, func(ctx context.Context) error { return controller.Run(ctx, &c, time.Second) })
		time.Sleep(2500 * time.Millisecond) // on the fake clock of synctest
		cancel()
		is.NoErr(<-ended)
		is.Equal(c.rounds, 3)
	})
}
