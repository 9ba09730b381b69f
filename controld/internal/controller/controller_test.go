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

// A fixed seed makes each run of the properties the same; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// fakeEngine carries out orders: a load takes loadTime, and the engine is not ready meanwhile.
type fakeEngine struct {
	announcement endpoint.Announcement
	state        endpoint.PlatformState
	next         endpoint.Order
	// Until visibleAt its state does not show that it loads.
	visibleAt time.Time
	loadedAt  time.Time
	received  []endpoint.Order
}

// world holds the engines and the clock, which is set by hand.
type world struct {
	mu       sync.Mutex
	now      time.Time
	loadTime time.Duration
	hidden   time.Duration
	engines  map[string]*fakeEngine
	partial  bool
}

func newWorld() *world {
	return &world{now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), loadTime: 3 * time.Second, engines: make(map[string]*fakeEngine)}
}

func (w *world) add(name, model, version string, checksFencing bool) *fakeEngine {
	e := &fakeEngine{
		announcement: endpoint.Announcement{Name: name, Address: name, Region: "north", Type: endpoint.Engine, ChecksFencing: checksFencing, State: endpoint.Ready},
		state:        endpoint.PlatformState{Models: []string{model}, Version: version},
	}
	w.engines[name] = e
	return e
}

func (w *world) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
	for _, e := range w.engines {
		if e.state.Loading && !w.now.Before(e.loadedAt) {
			e.state.Loading, e.state.Models, e.state.Version, e.state.Role = false, e.next.Models, e.next.Version, e.next.Role
		}
	}
}

func (w *world) deliver(name string, order endpoint.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[name]
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
	if e.state.Loading && slices.Equal(order.Models, e.next.Models) && order.Version == e.next.Version {
		return nil
	}
	e.next, e.state.Loading = order, true
	e.visibleAt, e.loadedAt = w.now.Add(w.hidden), w.now.Add(w.hidden+w.loadTime)
	return nil
}

func (w *world) ready(model string) (count int) {
	for _, e := range w.engines {
		if !e.state.Loading && slices.Contains(e.state.Models, model) {
			count++
		}
	}
	return count
}

func (w *world) loading() (count int) {
	for _, e := range w.engines {
		if e.state.Loading {
			count++
		}
	}
	return count
}

func (w *world) has(model, version string) (count int) {
	for _, e := range w.engines {
		if !e.state.Loading && slices.Contains(e.state.Models, model) && e.state.Version == version {
			count++
		}
	}
	return count
}

// leader is one control instance's view. A cut-off leader's orders are held in the network.
type leader struct {
	*world
	term   uint64
	leases []time.Duration // one for each reading; the last one stays
	conf   configuration.Configuration
	cutOff bool
	held   map[string]endpoint.Order
	// refuses makes all engines refuse; sent counts the orders.
	refuses bool
	sent    int
}

func newLeader(w *world, term uint64, models ...configuration.Model) *leader {
	l := &leader{world: w, term: term, leases: []time.Duration{time.Hour}, held: make(map[string]endpoint.Order)}
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
	return views, !l.partial
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
	l.sent++
	l.mu.Unlock()
	if l.refuses {
		return fault.New("order", endpoint.Refused, "past its deadline")
	}
	if l.cutOff {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held[address] = order
		return fault.New("order", endpoint.Unreachable, "no answer")
	}
	return l.deliver(address, order)
}

func (l *leader) orders(maxLoads int) *controller.Orders {
	return controller.NewOrders(controller.OrdersConfig{
		Lease: l, Configuration: l, Fleet: l, Engines: l, MaxLoads: maxLoads, Now: l.clock, Logger: zap.NewNop(),
	})
}

// naive orders the declared version of each engine once, and remembers that it did.
type naive struct {
	*leader
	done map[string]bool
}

func (n naive) Round(ctx context.Context) {
	for name, e := range n.engines {
		model := n.conf.Models[e.state.Models[0]]
		if !n.done[name] && n.ready(model.Name) > 1 && e.state.Version != model.Version {
			n.done[name] = n.Order(ctx, name, endpoint.Order{FencingToken: n.term, Models: []string{model.Name}, Version: model.Version}) == nil
		}
	}
}

func rounds(w *world, c controller.Controller, n int) {
	for range n {
		c.Round(context.Background())
		w.advance(time.Second)
	}
}

func oak(version string, replicas int) configuration.Model {
	return configuration.Model{Name: "oak", Version: version, Replicas: replicas}
}

// Guards against an order of a frozen or cut-off leader that arrives after its successor's orders
// and stays in force. The naive version shows that the scenario has this fault.
func TestLateOrdersAreCorrected(t *testing.T) {
	for name, test := range map[string]struct {
		checksFencing bool
		next          func(l *leader) controller.Controller
		disturbed     bool
		want          int
	}{
		"checks the token":  {true, func(l *leader) controller.Controller { return l.orders(2) }, false, 8},
		"ignores the token": {false, func(l *leader) controller.Controller { return l.orders(2) }, true, 8},
		"naive version":     {false, func(l *leader) controller.Controller { return naive{l, make(map[string]bool)} }, true, 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			for i := range 8 {
				w.add(fmt.Sprint("e", i), "oak", "1", test.checksFencing)
			}
			old := newLeader(w, 1, oak("2", 8))
			old.cutOff = true
			rounds(w, old.orders(2), 10)
			is.Equal(len(old.held), 2)
			next := test.next(newLeader(w, 2, oak("3", 8)))
			rounds(w, next, 60)
			is.Equal(w.has("oak", "3"), 8)
			for engine, order := range old.held {
				is.Equal(w.deliver(engine, order) == nil, test.disturbed)
			}
			rounds(w, next, 60)
			is.Equal(w.has("oak", "3"), test.want)
		})
	}
}

// Guards against late orders at any time, from several earlier leaders, that keep the engines from
// the declared state.
func TestEnginesReachDeclaredState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for i := range rapid.IntRange(2, 6).Draw(t, "engines") {
			w.add(fmt.Sprint("e", i), "oak", "1", rapid.Bool().Draw(t, "checks"))
		}
		held := make(map[string][]endpoint.Order)
		var current controller.Controller
		for term := range rapid.IntRange(1, 4).Draw(t, "terms") {
			l := newLeader(w, uint64(term+1), oak(fmt.Sprint(term+2), len(w.engines)))
			current = l.orders(rapid.IntRange(1, 3).Draw(t, "loads"))
			rounds(w, current, rapid.IntRange(0, 20).Draw(t, "rounds"))
			l.cutOff = true
			rounds(w, current, rapid.IntRange(0, 8).Draw(t, "rounds cut off"))
			for engine, order := range l.held {
				held[engine] = append(held[engine], order)
			}
			for engine, orders := range held {
				if rapid.Bool().Draw(t, "deliver") {
					_ = w.deliver(engine, orders[0]) // a refusal is as good
					held[engine] = append(orders[1:], orders[0])
				}
				if len(held[engine]) == 0 {
					delete(held, engine)
				}
			}
		}
		last := newLeader(w, 9, oak("last", len(w.engines)))
		current = last.orders(2)
		rounds(w, current, 5)
		for engine, orders := range held {
			for _, order := range orders {
				_ = w.deliver(engine, order)
			}
		}
		rounds(w, current, 80)
		if got := w.has("oak", "last"); got != len(w.engines) {
			t.Fatalf("%d of %d engines have the declared version", got, len(w.engines))
		}
	})
}

// Guards against a new leader that gives an order while one of the old leader's can still arrive
// after it, and against engines that would still accept the old leader's orders.
func TestNewLeaderWaits(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.loadTime = 0
	checks, ignores := w.add("e1", "oak", "1", true), w.add("e2", "oak", "1", false)
	w.add("e3", "oak", "2", true)
	orders := newLeader(w, 5, oak("2", 3)).orders(3)
	orders.Round(t.Context())
	is.Equal(len(checks.received), 1)
	is.Equal(w.engines["e3"].state.FencingToken, uint64(5)) // told the token although it agrees
	w.advance(809 * time.Millisecond)                       // lease 600 ms, skew 60 ms, order timeout 150 ms
	orders.Round(t.Context())
	is.Equal(len(ignores.received), 0)
	w.advance(time.Millisecond)
	orders.Round(t.Context())
	is.Equal(len(ignores.received), 1)
}

// Guards against an instance that leads again and relies on what it knew in its earlier term.
func TestNewTermOfSameLeader(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	e := w.add("e1", "oak", "1", true)
	l := newLeader(w, 5, oak("1", 1))
	orders := l.orders(1)
	orders.Round(t.Context())
	l.term = 7
	orders.Round(t.Context())
	is.Equal(e.state.FencingToken, uint64(7))
}

// Guards against a second engine for a replica that an engine already loads for the old leader.
func TestNewLeaderKeepsRunningLoads(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.loadTime = time.Minute
	w.add("e1", "undeclared", "1", false)
	spare := w.add("e2", "undeclared", "1", false)
	is.NoErr(w.deliver("e1", endpoint.Order{Models: []string{"oak"}, Version: "1"}))
	rounds(w, newLeader(w, 2, oak("1", 1)).orders(4), 100)
	is.Equal(w.has("oak", "1"), 1)
	is.Equal(len(spare.received), 0)
}

// Guards against an order that outlasts the lease of its leader.
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
			w := newWorld()
			e := w.add("e1", "oak", "1", true)
			w.add("e2", "oak", "1", false)
			l := newLeader(w, 1, oak("2", 2))
			l.leases = test.leases
			l.orders(1).Round(t.Context())
			is.Equal(len(e.received), test.orders)
			if test.orders > 0 {
				is.Equal(e.received[0].Deadline, w.now.Add(150*time.Millisecond).UnixMilli())
				is.Equal(e.received[0].FencingToken, uint64(1))
			}
		})
	}
}

// Guards against a roll-out that takes the last ready replica of a model or more loads at a time than
// the weight store can serve, and against one that does not end.
func TestRollOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.loadTime = time.Duration(rapid.IntRange(0, 8).Draw(t, "load time")) * time.Second
		w.hidden = time.Duration(rapid.IntRange(0, 4).Draw(t, "hidden")) * time.Second
		maxLoads := rapid.IntRange(1, 3).Draw(t, "loads")
		names := []string{"ash", "oak", "undeclared"}
		initial := make(map[string]int)
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			model := rapid.SampledFrom(names).Draw(t, "model")
			initial[model]++
			w.add(fmt.Sprint("e", i), model, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"), rapid.Bool().Draw(t, "checks"))
		}
		var models []configuration.Model
		for _, name := range names[:2] {
			models = append(models, configuration.Model{Name: name, Version: "2", Replicas: rapid.IntRange(0, 4).Draw(t, "replicas")})
		}
		orders := newLeader(w, 1, models...).orders(maxLoads)
		for range 150 {
			rounds(w, orders, 1)
			if w.loading() > maxLoads {
				t.Fatalf("%d loads at a time; the bound is %d", w.loading(), maxLoads)
			}
			for _, name := range names[:2] {
				if initial[name] > 0 && w.ready(name) == 0 {
					t.Fatalf("no replica of %s is ready", name)
				}
			}
		}
		for _, name := range names[:2] {
			if n := w.ready(name); n > 1 && w.has(name, "2") != n {
				t.Fatalf("%d of %d replicas of %s have the declared version", w.has(name, "2"), n, name)
			}
		}
	})
}

// Guards against an order each round to an engine that refuses them.
func TestRefusedOrdersPause(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.add("e1", "oak", "1", true)
	w.add("e2", "oak", "2", true)
	l := newLeader(w, 1, oak("2", 2))
	l.refuses = true
	rounds(w, l.orders(1), 20)
	is.Equal(l.sent, 8) // each engine at 0, 5, 10 and 15 s
	l.refuses = false
	rounds(w, l.orders(1), 10)
	is.Equal(w.has("oak", "2"), 2)
}

// Guards against a roll-out that takes most replicas of a model at once.
func TestRollOutKeepsCapacity(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	for i := range 8 {
		w.add(fmt.Sprint("e", i), "oak", "1", true)
	}
	orders := newLeader(w, 1, oak("2", 8)).orders(8)
	for range 30 {
		rounds(w, orders, 1)
		is.True(w.ready("oak") >= 6)
	}
	is.Equal(w.has("oak", "2"), 8)
}

// Guards against a state that the engine's announcements do not show and that is never corrected.
func TestSweep(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.add("e1", "oak", "2", true)
	wrong := w.add("e2", "oak", "2", true)
	wrong.announcement.Version = "2"
	orders := newLeader(w, 1, oak("2", 2)).orders(1)
	rounds(w, orders, 1)
	wrong.state.Version = "1"
	rounds(w, orders, 40)
	is.Equal(w.has("oak", "2"), 2)
}

// Guards against loads for replicas that are only out of sight: behind a dispatcher that does not
// answer, or restarting.
func TestNoReplacementBeforeTime(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.add("e1", "oak", "1", true)
	spare := w.add("e2", "undeclared", "1", true)
	l := newLeader(w, 1, oak("1", 2))
	orders := l.orders(4)
	rounds(w, orders, 9)
	w.partial = true
	rounds(w, orders, 20)
	is.Equal(len(spare.received), 0)
	w.partial = false
	rounds(w, orders, 5)
	is.Equal(w.has("oak", "1"), 2)
}

// Guards against roles that change back and forth with the load, take the last engine of a role, or
// override the operators.
func TestRoles(t *testing.T) {
	for name, test := range map[string]struct {
		queue   int // tokens at 1,000 tokens a second
		used    int // of 100
		lasts   int // seconds
		decoder int
		setting bool
		want    map[string]string
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
			w := newWorld()
			p := w.add("p0", "oak", "1", true)
			p.state.Role = controller.Prefill
			p.announcement.Load = endpoint.Load{QueuedPrefill: test.queue, PrefillRate: 1000}
			l := newLeader(w, 1)
			l.conf.Endpoints = make(map[string]configuration.EndpointSetting)
			for i := range test.decoder {
				d := w.add(fmt.Sprint("d", i), "oak", "1", true)
				d.state.Role, d.announcement.Memory, d.announcement.Load.Used = controller.Decode, 100, test.used
				if test.setting {
					l.conf.Endpoints[d.announcement.Name] = configuration.EndpointSetting{Role: controller.Decode}
				}
			}
			roles := controller.NewRoles(controller.RolesConfig{Lease: l, Configuration: l, Fleet: l, Now: w.clock, Logger: zap.NewNop()})
			for range test.lasts {
				roles.Round(t.Context())
				for name, role := range roles.Choices() {
					w.engines[name].state.Role = role
				}
				w.advance(time.Second)
			}
			is.Equal(roles.Choices(), test.want)
		})
	}
}

// BenchmarkRound measures a round at the two-year target: 7,700 engines and 24 models.
func BenchmarkRound(b *testing.B) {
	for name, version := range map[string]string{"steady": "1", "roll-out": "2"} {
		b.Run(name, func(b *testing.B) {
			w := newWorld()
			w.loadTime = time.Hour
			var models []configuration.Model
			for i := range 24 {
				models = append(models, configuration.Model{Name: fmt.Sprint("m", i), Version: version, Replicas: 300})
			}
			for i := range 7700 {
				w.add(fmt.Sprint("e", i), fmt.Sprint("m", i%24), "1", true)
			}
			orders := newLeader(w, 1, models...).orders(4)
			rounds(w, orders, 2)
			for b.Loop() {
				rounds(w, orders, 1)
			}
		})
	}
}

type counter struct{ rounds int }

func (c *counter) Round(context.Context) { c.rounds++ }

// Guards against a loop that outlives its context or whose end cannot be awaited.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var c counter
		ended := task.Start(ctx, func(ctx context.Context) error { return controller.Run(ctx, &c, time.Second) })
		time.Sleep(2500 * time.Millisecond) // the bubble's clock
		cancel()
		is.NoErr(<-ended)
		is.Equal(c.rounds, 3)
	})
}
