package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

const (
	// ticketTTL is how long a ticket lives while nobody awaits it.
	ticketTTL = 2 * time.Second
	// endedTTL is how long ended attempts are remembered, so that late events do not adopt them; it is
	// longer than an entry keeps reporting after it last heard of a grant.
	endedTTL = 4 * GrantTTL
	// patience is how long reservations wait for a first ready endpoint: a new dispatcher hears of all
	// live ones within that time.
	patience = endpoint.DeadAfter
	// stall is the time between two ticks from which the process counts as having been stopped; ticks
	// are tickInterval apart.
	stall = time.Second
	// eventScan and tickScan bound the reservations that one event and one tick try to place; 32 tries
	// took about 0.1 ms with 32 replicas.
	eventScan = 32
	tickScan  = 512
)

// cell is the view of one cell and all decisions on it. Its methods do no I/O and take the time as an
// argument; calls to endpoints are collected in calls.
type cell struct {
	name string
	// first is the first cell of the model, count the number of its cells at the last tick.
	first    string
	count    int
	config   *Config
	settings *Settings
	mu       sync.Mutex
	replicas map[string]*replica
	// order has the replicas by name.
	order  []*replica
	index  *prefix.Index
	hits   []int
	grants map[string]*grant
	// items are queued reservations, and resolved ones until they have been fetched.
	items map[string]*item
	queue *fairQueue
	hold  *hold
	// ended has the attempts that ended lately with the time.
	ended    map[string]time.Time
	suspects suspects
	// retired has the ended lives of endpoints by name.
	retired map[string][]string
	// ready is when an endpoint could last take work.
	ready time.Time
	// created is when this dispatcher took over the cell.
	created time.Time
	// ticked is the time of the last tick.
	ticked time.Time
	// rate is the mean prefill rate of the engines.
	rate       float64
	meanOutput float64
	// outputShare is the mean share of the bound of a completion that it reaches.
	outputShare float64
	drain       drainRate
	// scan numbers the runs of pump, groups the reserved groups.
	scan, groups uint64
	// changes is nil until somebody asks for changes.
	changes *changeLog
	closed  bool
	calls   []call
}

// item is a reservation on its way to a grant.
type item struct {
	request  ReserveRequest
	arrival  time.Time
	deadline time.Time
	key      int64
	class    LengthClass
	tokens   int
	// cost is what fair queueing charges; it is 0 once it was charged.
	cost int
	flow *flow
	done chan struct{}
	// reply is set when the item is resolved.
	reply     *ReserveReply
	resolved  time.Time
	awaiting  int
	lastAwait time.Time
	notBefore time.Time
	// pending is the group whose holdings are being created.
	pending *grant
	// service is the shortest expected time from start to end, estimate that from arrival to first token.
	service  time.Duration
	estimate time.Duration
	// scan is the last run of pump that tried it.
	scan uint64
	// safety says that the last try found no replica without other suspects.
	safety bool
}

// grant is a grant with what its end has to undo.
type grant struct {
	Grant
	parts       []*part
	class       LengthClass
	key         int64
	workspace   string
	fingerprint uint64
	blocks      []uint64
	hit         int
	maxTokens   int
	// deadline is zero for adopted grants. decode is the expected time of the completion in seconds.
	deadline   time.Time
	decode     float64
	granted    time.Time
	event      time.Time
	firstToken time.Time
	// expected is when the grant is expected to end, end when it ends at the latest.
	expected  time.Time
	end       time.Time
	prefilled bool
	// overtaken says that work with a higher priority came after it, so that its time to first token
	// does not measure the prefill rate.
	overtaken bool
	adopted   bool
	// creating is set while the holdings of a group are being created.
	creating bool
}

func newCell(name string, config *Config, now time.Time) *cell {
	first, _ := SplitCell(name)
	return &cell{
		name:     name,
		first:    first,
		count:    cellCount(config, first),
		config:   config,
		settings: &config.Settings,
		replicas: make(map[string]*replica),
		index:    prefix.NewIndex(),
		grants:   make(map[string]*grant),
		items:    make(map[string]*item),
		queue:    newFairQueue(config.Settings.ClassStep),
		ended:    make(map[string]time.Time),
		suspects: newSuspects(),
		retired:  make(map[string][]string),
		ready:    now,
		rate:     config.Settings.PrefillRate,
		created:  now,
		ticked:   now,
	}
}

// reserve grants, queues or refuses. A repeated call for an attempt gets the first result.
func (c *cell) reserve(now time.Time, request ReserveRequest) ReserveReply {
	if c.closed {
		return ReserveReply{Status: Elsewhere}
	}
	if reply, known := c.known(request.AttemptID); known {
		return reply
	}
	it := c.newItem(now, request)
	if c.quarantined(now, request.Fingerprint) {
		return refuse(Quarantine, 0, "the request crashed endpoints before and is quarantined")
	}
	c.pump(now, eventScan)
	result := c.place(now, it)
	if result.refusal != nil {
		return *result.refusal
	}
	if result.granted != nil {
		return c.grantedAtOnce(it, result.granted)
	}
	if refusal := c.admit(now, it); refusal != nil {
		return *refusal
	}
	c.items[request.AttemptID] = it
	c.queue.push(it)
	if result.memory && c.hold == nil {
		c.holdFor(now, it)
	}
	return c.queued(it)
}

// grantedAtOnce charges a grant that passed those that wait, and returns it, or a ticket while the
// holdings of a group are being created.
func (c *cell) grantedAtOnce(it *item, g *grant) ReserveReply {
	if c.queue.size > 0 {
		c.drain.served += float64(it.cost)
		c.queue.push(it)
		c.queue.serve(it)
	}
	if !g.creating {
		return ReserveReply{Status: Granted, Grant: g.Grant}
	}
	c.items[g.ID] = it
	return c.queued(it)
}

// known returns the state of an attempt that has been reserved before.
func (c *cell) known(attempt string) (ReserveReply, bool) {
	if it := c.items[attempt]; it != nil {
		if it.reply == nil {
			return c.queued(it), true
		}
		if it.reply.Status != Granted {
			return *it.reply, true
		}
	}
	if g := c.grants[attempt]; g != nil {
		return ReserveReply{Status: Granted, Grant: g.Grant}, true
	}
	if _, ended := c.ended[attempt]; ended {
		return refuse(NoEndpoint, 0, "attempt %s has ended; a new attempt needs a new id", attempt), true
	}
	return ReserveReply{}, false
}

func (c *cell) newItem(now time.Time, request ReserveRequest) *item {
	tokens := request.PromptTokens + request.MaxTokens
	return &item{
		request:   request,
		arrival:   now,
		deadline:  now.Add(request.TimeLeft),
		key:       c.key(now, request),
		class:     Length(request.PromptTokens),
		tokens:    tokens,
		cost:      max(1, tokens),
		done:      make(chan struct{}),
		lastAwait: now,
	}
}

func (c *cell) key(now time.Time, request ReserveRequest) int64 {
	return c.settings.Priority(now, request, c.rate)
}

func (c *cell) queued(it *item) ReserveReply {
	return ReserveReply{Status: Queued, Ticket: ticketOf(c.name, it.request.AttemptID), Estimate: it.estimate}
}

func refuse(reason Reason, after time.Duration, format string, args ...any) ReserveReply {
	return ReserveReply{Status: Refused, Reason: reason, RetryAfter: after, Message: fmt.Sprintf(format, args...)}
}

// resolve gives a queued reservation its result.
func (c *cell) resolve(now time.Time, it *item, reply ReserveReply) {
	c.queue.remove(it)
	it.reply, it.resolved = &reply, now
	close(it.done)
	if c.hold != nil && c.hold.item == it {
		c.hold = nil
	}
}

// fetch returns the result of a resolved reservation and forgets it; a grant is still found by its id.
func (c *cell) fetch(it *item) ReserveReply {
	delete(c.items, it.request.AttemptID)
	if it.reply.Status == Granted && c.grants[it.reply.Grant.ID] == nil {
		// The grant ended before its entry knew of it, so the attempt may be reserved again.
		delete(c.ended, it.reply.Grant.ID)
		return ReserveReply{Status: Elsewhere}
	}
	return *it.reply
}

// beginAwait returns the channel that closes when the reservation is resolved, or nil.
func (c *cell) beginAwait(now time.Time, attempt string) <-chan struct{} {
	it := c.items[attempt]
	if it == nil || it.reply != nil {
		return nil
	}
	it.awaiting++
	it.lastAwait = now
	return it.done
}

func (c *cell) endAwait(now time.Time, attempt string, began bool) ReserveReply {
	it := c.items[attempt]
	if it == nil {
		if g := c.grants[attempt]; g != nil {
			return ReserveReply{Status: Granted, Grant: g.Grant}
		}
		return ReserveReply{Status: Elsewhere}
	}
	if began && it.awaiting > 0 {
		it.awaiting--
	}
	it.lastAwait = now
	if it.reply == nil {
		return c.queued(it)
	}
	if g := c.grants[attempt]; g != nil {
		g.event = now
	}
	return c.fetch(it)
}

// tick expires what has to be expired and lets time act on the queue.
func (c *cell) tick(now time.Time) {
	if gap := now.Sub(c.ticked); gap > stall {
		c.resume(gap)
	}
	c.ticked = now
	c.resize(now)
	for _, r := range slices.Clone(c.order) {
		if r.moved {
			continue
		}
		r.drained = c.config.EndpointDrained(r.name)
		if now.Sub(r.seen) > endpoint.DeadAfter {
			c.died(now, r, nil)
			c.removeReplica(r)
		}
	}
	for _, id := range sortedKeys(c.grants, func(g *grant) bool { return now.Sub(g.event) > GrantTTL }) {
		c.cancelGrant(now, c.grants[id])
	}
	for id, at := range c.ended {
		if now.Sub(at) > endedTTL {
			delete(c.ended, id)
		}
	}
	c.suspects.expire(now)
	c.expireLosses(now)
	for _, id := range sortedKeys(c.items, func(it *item) bool { return it.expired(now) }) {
		c.expireItem(now, c.items[id])
	}
	c.queue.forget()
	c.drain.tick(now, c.saturated())
	c.eject(now)
	c.pump(now, tickScan)
}

// resume moves all times of silence after this process itself was stopped or starved: events of the
// gap are still to be read, and endpoints and entries must not count as dead for it.
func (c *cell) resume(gap time.Duration) {
	c.config.Logger.Warn("Dispatcher was stalled", zap.String("cell", c.name), zap.Duration("gap", gap))
	for _, r := range c.order {
		r.seen = r.seen.Add(gap)
	}
	for _, g := range c.grants {
		g.event = g.event.Add(gap)
	}
	for _, it := range c.items {
		it.lastAwait = it.lastAwait.Add(gap)
	}
	for id, at := range c.ended {
		c.ended[id] = at.Add(gap)
	}
}

// saturated says that work waits that one replica could run.
func (c *cell) saturated() bool {
	_, largest := c.capacity()
	for _, f := range c.queue.flows {
		for _, it := range f.items {
			if it.tokens <= largest || largest == 0 {
				return true
			}
		}
	}
	return false
}

// forgotten says that nobody awaits the reservation any more, expired that it ends for that reason or
// because it can no longer be in time.
func (it *item) forgotten(now time.Time) bool {
	return it.awaiting == 0 && now.Sub(it.lastAwait) > ticketTTL
}

func (it *item) expired(now time.Time) bool {
	return it.forgotten(now) || (it.reply == nil && !now.Add(it.service).Before(it.deadline))
}

// expireItem drops a reservation that nobody awaits, and refuses one that can no longer be in time.
func (c *cell) expireItem(now time.Time, it *item) {
	if it.forgotten(now) {
		c.dropItem(now, it)
		return
	}
	c.withdraw(now, it)
	reply := c.tooLate(it, 0, it.service)
	if it.safety {
		reply = refuse(NoSafeEndpoint, minRetryAfter, "the request ran on an endpoint that died, and no endpoint is free of other such requests")
	}
	c.resolve(now, it, reply)
}

// dropItem forgets a reservation and what it has reserved.
func (c *cell) dropItem(now time.Time, it *item) {
	c.withdraw(now, it)
	if it.reply == nil {
		c.resolve(now, it, ReserveReply{Status: Elsewhere})
	}
	delete(c.items, it.request.AttemptID)
	if g := c.grants[it.request.AttemptID]; g != nil {
		c.endGrant(now, g, nil)
	}
}

// withdraw ends the group whose holdings are being created for a reservation; the result of the
// creation finds no grant and deletes the holdings.
func (c *cell) withdraw(now time.Time, it *item) {
	if it.pending == nil {
		return
	}
	g := it.pending
	it.pending = nil
	c.endGrant(now, g, nil)
}

// abandon ends the view when another entry owns the cell.
func (c *cell) abandon() {
	c.closed = true
	for _, it := range c.items {
		if it.reply == nil {
			c.resolve(time.Time{}, it, ReserveReply{Status: Elsewhere})
		}
	}
}

func (c *cell) view(now time.Time) EndpointsReply {
	reply := EndpointsReply{Status: Granted}
	for _, r := range c.order {
		if !r.listed(now) {
			continue
		}
		reply.Endpoints = append(reply.Endpoints, r.view(now))
	}
	for _, f := range c.queue.order(now) {
		for _, it := range f.items {
			reply.Waiting = append(reply.Waiting, WaitingView{
				RequestID: it.request.RequestID, Workspace: it.request.Workspace, Tokens: it.tokens,
				Waited: now.Sub(it.arrival), Estimate: it.estimate,
			})
		}
	}
	return reply
}

// sample returns some endpoints that take work, at random.
func (c *cell) sample(now time.Time, count int) EndpointsReply {
	var usable []*replica
	for _, r := range c.order {
		if r.listed(now) && r.takesWork() && !r.ejected {
			usable = append(usable, r)
		}
	}
	reply := EndpointsReply{Status: Granted}
	for _, i := range rand.Perm(len(usable))[:min(count, len(usable))] {
		reply.Endpoints = append(reply.Endpoints, usable[i].view(now))
	}
	return reply
}

// idle says that nothing is known of the cell, so that it can be dropped.
func (c *cell) idle(now time.Time) bool {
	return len(c.order) == 0 && len(c.items) == 0 && len(c.grants) == 0 && now.Sub(c.ready) > endedTTL
}

// sortedKeys returns the keys of the values that match, in order, so that results do not depend on the
// order of maps.
func sortedKeys[V any](m map[string]V, match func(V) bool) []string {
	var keys []string
	for key, value := range m {
		if match(value) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
