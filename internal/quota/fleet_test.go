package quota_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/quota"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

const workspace = "sawmill"

// networkState selects how calls between entries succeed, are delayed or fail.
type networkState string

const (
	healthy     networkState = "healthy"
	slow        networkState = "slow"
	far         networkState = "far"
	requestLost networkState = "request lost"
	replyLost   networkState = "reply lost"
	requestLate networkState = "request late"
	refused     networkState = "refused"
	slowLatency              = 20 * time.Millisecond
	farLatency               = 80 * time.Millisecond
	lateLatency              = 700 * time.Millisecond
	errRefused               = "connection refused"
)

// node is one entry. Each has its own view of the members, which may be outdated.
type node struct {
	fleet   *fleet
	member  session.Member
	view    session.View
	expired bool
	owner   *quota.Owner
	limiter *quota.Limiter
	metrics *metrics.Registry
}

// fleet is a set of entries in one process.
type fleet struct {
	rate      float64
	mu        sync.Mutex
	network   networkState
	nodes     map[string]*node
	lateCalls sync.WaitGroup
	// permitTimes and shareTimes are the times of requests admitted with permits and by shares.
	permitTimes, shareTimes []time.Time
}

func newFleet(rate float64, entries int) *fleet {
	f := &fleet{rate: rate, network: healthy, nodes: make(map[string]*node)}
	for i := range entries {
		name := fmt.Sprint("entry-", i)
		f.nodes[name] = &node{fleet: f, member: session.Member{Instance: name, Peer: name}}
	}
	for name, n := range f.nodes {
		f.setMembers(n, 1, "")
		f.start(name)
	}
	return f
}

// setMembers gives an entry a member list in which one of the entries is draining.
func (f *fleet) setMembers(n *node, version uint64, without string) {
	view := session.View{MembershipVersion: version, Configuration: configuration.Configuration{
		Workspaces: map[string]configuration.Workspace{workspace: {Name: workspace, RequestRate: f.rate}},
	}}
	for i := range len(f.nodes) {
		m := f.nodes[fmt.Sprint("entry-", i)].member
		m.Draining = m.Instance == without
		view.Members = append(view.Members, m)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n.view = view
}

// start starts an entry, or restarts it without its permits and buckets.
func (f *fleet) start(name string) {
	n := f.nodes[name]
	f.mu.Lock()
	defer f.mu.Unlock()
	n.metrics = metrics.NewRegistry()
	n.owner = quota.NewOwner(quota.OwnerConfig{Instance: name, View: n.currentView})
	n.limiter = quota.NewLimiter(quota.LimiterConfig{
		Instance: name, Local: n.owner, Caller: f, Metrics: n.metrics, Logger: zap.NewNop(),
	})
}

func (n *node) currentView() (session.View, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.expired {
		return n.view, fault.New("check lease", session.Expired, "the lease has run out")
	}
	return n.view, nil
}

func (f *fleet) setNetwork(state networkState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.network = state
}

func (f *fleet) Call(ctx context.Context, address, _ string, args, reply any) error {
	f.mu.Lock()
	state, owner := f.network, f.nodes[address].owner
	f.mu.Unlock()
	take := func(into *quota.TakeReply) error { return owner.Take(args.(quota.TakeRequest), into) }
	switch state {
	case refused:
		return errors.New(errRefused)
	case slow:
		time.Sleep(slowLatency)
	case far:
		time.Sleep(farLatency)
	case replyLost:
		_ = take(&quota.TakeReply{})
		<-ctx.Done()
		return ctx.Err()
	case requestLate:
		f.lateCalls.Go(func() {
			time.Sleep(lateLatency)
			_ = take(&quota.TakeReply{})
		})
		<-ctx.Done()
		return ctx.Err()
	case requestLost:
		<-ctx.Done()
		return ctx.Err()
	}
	return take(reply.(*quota.TakeReply))
}

// admit sends one request to an entry and waits until only calls with a delay are in progress.
func (f *fleet) admit(name string) bool {
	n := f.nodes[name]
	view, _ := n.currentView()
	shares := n.metrics.Counter("entry_rate_local_share_total")
	before := shares.Count()
	ok := n.limiter.Admit(context.Background(), view, workspace, f.rate)
	synctest.Wait()
	switch {
	case ok && shares.Count() > before:
		f.shareTimes = append(f.shareTimes, time.Now())
	case ok:
		f.permitTimes = append(f.permitTimes, time.Now())
	}
	return ok
}

// owners returns the entries that consider themselves the owner of the workspace.
func (f *fleet) owners() []string {
	var names []string
	for name, n := range f.nodes {
		if owner, ok := n.view.Owner(workspace); ok && owner.Instance == name && !n.expired {
			names = append(names, name)
		}
	}
	return names
}

// waitForCalls waits for all calls in progress.
func (f *fleet) waitForCalls() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range f.nodes {
		_ = n.limiter.Run(ctx)
	}
	f.lateCalls.Wait()
}

// maxExcess returns the largest excess of the requests in any interval over rate × its length.
func maxExcess(times []time.Time, rate float64) float64 {
	excess, lowest := 0.0, 0.0
	for i, at := range times {
		due := rate * at.Sub(times[0]).Seconds()
		lowest = min(lowest, float64(i)-due)
		excess = max(excess, float64(i+1)-due-lowest)
	}
	return excess
}
