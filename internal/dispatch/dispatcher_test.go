package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// fakeEngines implements Holdings for engines of equal memory. Each call takes 5 ms of the test's clock.
type fakeEngines struct {
	mu        sync.Mutex
	memory    int
	holdings  map[string]map[string]endpoint.Holding
	expires   map[string]time.Time
	cancelled map[string]time.Time
}

func newFakeEngines(memory int) *fakeEngines {
	return &fakeEngines{
		memory: memory, holdings: map[string]map[string]endpoint.Holding{},
		expires: map[string]time.Time{}, cancelled: map[string]time.Time{},
	}
}

// lockedHoldings returns the unexpired holdings of an address with mu locked.
func (f *fakeEngines) lockedHoldings(address string) map[string]endpoint.Holding {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	if f.holdings[address] == nil {
		f.holdings[address] = map[string]endpoint.Holding{}
	}
	for id := range f.holdings[address] {
		if !f.expires[address+id].After(time.Now()) {
			delete(f.holdings[address], id)
		}
	}
	return f.holdings[address]
}

func (f *fakeEngines) Create(_ context.Context, address string, h endpoint.Holding) error {
	holdings := f.lockedHoldings(address)
	defer f.mu.Unlock()
	used := h.Tokens
	for _, other := range holdings {
		used += other.Tokens
	}
	if used > f.memory {
		return errors.New("not enough memory")
	}
	holdings[h.ID] = h
	f.expires[address+h.ID] = time.Now().Add(time.Duration(h.TTL) * time.Millisecond)
	return nil
}

func (f *fakeEngines) Renew(_ context.Context, address, id string, ttl time.Duration) error {
	holdings := f.lockedHoldings(address)
	defer f.mu.Unlock()
	if _, ok := holdings[id]; !ok {
		return errors.New("unknown holding")
	}
	f.expires[address+id] = time.Now().Add(ttl)
	return nil
}

func (f *fakeEngines) Delete(_ context.Context, address, id string) error {
	holdings := f.lockedHoldings(address)
	defer f.mu.Unlock()
	delete(holdings, id)
	return nil
}

func (f *fakeEngines) List(_ context.Context, address string) ([]endpoint.Holding, error) {
	holdings := f.lockedHoldings(address)
	defer f.mu.Unlock()
	var list []endpoint.Holding
	for _, h := range holdings {
		list = append(list, h)
	}
	return list, nil
}

func (f *fakeEngines) Cancel(_ context.Context, address, attempt string) error {
	f.lockedHoldings(address)
	defer f.mu.Unlock()
	f.cancelled[attempt] = time.Now()
	return nil
}

func (f *fakeEngines) count() int {
	count := 0
	for i := range 4 {
		count += len(f.lockedHoldings(engine(i, 0).Address))
		f.mu.Unlock()
	}
	return count
}

// startDispatcher runs a dispatcher until the test ends. Two engines announce themselves to it every second.
func startDispatcher(t *testing.T, engines *fakeEngines, instance string, owns func(string) bool) *Dispatcher {
	config := testConfig()
	config.Instance, config.Holdings, config.Owns = instance, engines, owns
	d := New(config)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = d.Run(ctx) })
	announce := func() {
		announcements := []endpoint.Announcement{engine(0, engines.memory), engine(1, engines.memory)}
		_ = d.Announce(ctx, AnnounceRequest{Announcements: announcements})
	}
	announce()
	running.Go(func() {
		for ctx.Err() == nil {
			announce()
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	})
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return d
}

// reserveAndAwait reserves and awaits until the reservation is granted or refused.
func reserveAndAwait(t *testing.T, d *Dispatcher, r ReserveRequest) ReserveReply {
	reply, _ := d.Reserve(t.Context(), r)
	for reply.Status == Queued {
		reply, _ = d.Await(t.Context(), AwaitRequest{Ticket: reply.Ticket, Wait: time.Second})
	}
	return reply
}

func report(t *testing.T, d *Dispatcher, event Event) {
	event.Cell = testCell
	_ = d.Report(t.Context(), ReportRequest{Events: []Event{event}})
}

// Guards against holdings of a group that expire while it runs, remain after its end, or are lost or
// deleted when another entry takes over the cell.
func TestGroupHoldingsFollowTheGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newFakeEngines(1000)
		var mu sync.Mutex
		owner := "entry-1"
		owns := func(instance string) func(string) bool {
			return func(string) bool {
				mu.Lock()
				defer mu.Unlock()
				return owner == instance
			}
		}
		first := startDispatcher(t, engines, "entry-1", owns("entry-1"))
		second := startDispatcher(t, engines, "entry-2", owns("entry-2"))
		reply := reserveAndAwait(t, first, request("group", 1700, 100))
		is.Equal(reply.Status, Granted)
		is.Equal(len(reply.Grant.Members), 2)
		is.Equal(engines.count(), 2)
		for elapsed := range 20 {
			if elapsed == 10 {
				mu.Lock()
				owner = "entry-2"
				mu.Unlock()
			}
			alive := Event{Grant: "group", Type: KeepAlive, Members: reply.Grant.Members}
			report(t, first, alive)
			report(t, second, alive)
			time.Sleep(time.Second)
			is.Equal(engines.count(), 2)
		}
		r, _ := first.Reserve(t.Context(), request("other", 100, 10))
		is.Equal(r.Status, Elsewhere)
		report(t, second, Event{Grant: "group", Type: Finished})
		time.Sleep(time.Second)
		is.Equal(engines.count(), 0)
		is.Equal(len(engines.cancelled), 0) // nothing was cancelled as an orphan
	})
}

// Guards against memory that stays reserved after an entry or another dispatcher has stopped, and against
// holdings that are cancelled as orphans before their entry could report them to a new dispatcher.
func TestSilentGrantsAndOrphansAreFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newFakeEngines(1000)
		address := engine(0, 0).Address
		start := time.Now()
		for _, id := range []string{"orphan", "adopted"} {
			is.NoErr(engines.Create(t.Context(), address, endpoint.Holding{ID: id, Tokens: 100, TTL: 3_600_000}))
		}
		d := startDispatcher(t, engines, "entry-1", nil)
		is.Equal(reserveAndAwait(t, d, request("silent", 100, 10)).Status, Granted)
		members := []GrantMember{{Endpoint: engine(0, 0).Name, Address: address, Tokens: 100}}
		for range 12 {
			report(t, d, Event{Grant: "adopted", Type: KeepAlive, Members: members})
			time.Sleep(time.Second)
		}
		engines.mu.Lock()
		defer engines.mu.Unlock()
		is.True(!engines.cancelled["silent"].IsZero())
		is.True(engines.cancelled["orphan"].Sub(start) >= GrantTTL)
		is.True(engines.cancelled["adopted"].IsZero())
		is.Equal(len(engines.holdings[address]), 1)
	})
}

// Guards against two dispatchers that are active at the same time and block each other's groups forever,
// and against memory that stays reserved after their failed attempts.
func TestTwoDispatchersDoNotBlockEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := newFakeEngines(1000)
		start := time.Now()
		var tries sync.WaitGroup
		for i := range 2 {
			d := startDispatcher(t, engines, fmt.Sprintf("entry-%d", i), nil)
			for j := range 3 {
				tries.Go(func() {
					id := fmt.Sprintf("group-%d-%d", i, j)
					reply := reserveAndAwait(t, d, request(id, 1700, 100))
					if reply.Status != Granted {
						t.Errorf("%s: %+v", id, reply)
					}
					time.Sleep(500 * time.Millisecond)
					report(t, d, Event{Grant: id, Type: Finished})
				})
			}
		}
		tries.Wait()
		t.Logf("six groups one after another took %v", time.Since(start))
		time.Sleep(time.Second)
		is.Equal(engines.count(), 0)
	})
}

// Guards against a long poll that misses its grant, and against a ticket that never expires although nobody
// awaits it.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := startDispatcher(t, newFakeEngines(1000), "entry-1", nil)
		for i := range 2 {
			is.Equal(reserveAndAwait(t, d, request(fmt.Sprintf("running-%d", i), 600, 100)).Status, Granted)
		}
		waiting, _ := d.Reserve(t.Context(), request("waiting", 600, 100))
		dropped, _ := d.Reserve(t.Context(), request("dropped", 600, 100))
		is.Equal(waiting.Status, Queued)
		is.Equal(dropped.Status, Queued)
		time.AfterFunc(3*time.Second, func() { report(t, d, Event{Grant: "running-0", Type: Finished}) })
		start := time.Now()
		reply, _ := d.Await(t.Context(), AwaitRequest{Ticket: waiting.Ticket, Wait: time.Minute})
		is.Equal(reply.Status, Granted)
		is.Equal(time.Since(start), 3*time.Second)
		reply, _ = d.Await(t.Context(), AwaitRequest{Ticket: dropped.Ticket, Wait: time.Minute})
		is.Equal(reply.Status, Elsewhere)
	})
}

// Guards against methods or types that net/rpc rejects.
func TestServiceOverRPC(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	d := New(config)
	server := rpc.NewServer()
	is.NoErr(server.RegisterName(ServiceName, d.Service()))
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	defer client.Close()

	announcement := AnnounceRequest{Announcements: []endpoint.Announcement{engine(0, 1000)}}
	is.NoErr(client.Call("Dispatch.Announce", &announcement, &AnnounceReply{}))
	r := request("a", 100, 10)
	var reply ReserveReply
	is.NoErr(client.Call("Dispatch.Reserve", &r, &reply))
	is.Equal(reply.Status, Granted)
	var again ReserveReply
	is.NoErr(client.Call("Dispatch.Await", &AwaitRequest{Ticket: makeTicket(testCell, "a")}, &again))
	is.Equal(again.Grant, reply.Grant)
	var view EndpointsReply
	is.NoErr(client.Call("Dispatch.Endpoints", &EndpointsRequest{Cell: testCell}, &view))
	is.Equal(view.Endpoints[0].GrantedTokens, 110)
	finished := ReportRequest{Events: []Event{{Cell: testCell, Grant: "a", Type: Finished}}}
	is.NoErr(client.Call("Dispatch.Report", &finished, &ReportReply{}))
	view = EndpointsReply{}
	is.NoErr(client.Call("Dispatch.Endpoints", &EndpointsRequest{Cell: testCell}, &view))
	is.Equal(view.Endpoints[0].GrantedTokens, 0)
}
