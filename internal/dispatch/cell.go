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
	discoveryTime = endpoint.DeadAfter
	// stall is the time between two ticks from which the process counts as having been stopped; ticks
	// are tickInterval apart.
	stallThreshold = time.Second
	// eventScan and tickScan bound the reservations that one event and one tick try to place; 32 tries
	// took about 0.1 ms with 32 replicas.
	maxTriesPerEvent = 32
	maxTriesPerTick  = 512
)

// cell is the view of one cell and all decisions on it. Its methods do no I/O and take the time as an
// argument; calls to endpoints are collected in calls.
type cell struct {
	name string
	// first is the first cell of the model, count the number of its cells at the last tick.
	firstCell string
	cellCount int
	config    *Config
	settings  *Settings
	mu        sync.Mutex
	replicas  map[string]*replica
	// order has the replicas by name.
	sortedReplicas []*replica
	prefixIndex    *prefix.Index
	prefixHits     []int
	grants         map[string]*grant
	// items are queued reservations, and resolved ones until they have been fetched.
	reservations map[string]*reservation
	queue        *fairQueue
	hold         *hold
	// ended has the attempts that ended lately with the time.
	endedAttempts map[string]time.Time
	suspects      suspects
	// retired has the ended lives of endpoints by name.
	endedIncarnations map[string][]string
	// ready is when an endpoint could last take work.
	lastReady time.Time
	// created is when this dispatcher took over the cell.
	createdAt time.Time
	// ticked is the time of the last tick.
	lastTick time.Time
	// rate is the mean prefill rate of the engines.
	meanPrefillRate  float64
	meanOutputTokens float64
	// outputShare is the mean share of the bound of a completion that it reaches.
	outputShare float64
	queueDrain  drainRate
	// scan numbers the runs of pump, groups the reserved groups.
	scanNumber, groupNumber uint64
	// changes is nil until somebody asks for changes.
	changes      *changeLog
	closed       bool
	pendingCalls []call
}

// item is a reservation on its way to a grant.
type reservation struct {
	request  ReserveRequest
	arrival  time.Time
	deadline time.Time
	priority int64
	class    LengthClass
	tokens   int
	// cost is what fair queueing charges; it is 0 once it was charged.
	cost     int
	flow     *flow
	resolved chan struct{}
	// reply is set when the item is resolved.
	reply      *ReserveReply
	resolvedAt time.Time
	waiters    int
	lastAwait  time.Time
	notBefore  time.Time
	// pending is the group whose holdings are being created.
	pendingGroup *grant
	// service is the shortest expected time from start to end, estimate that from arrival to first token.
	serviceTime time.Duration
	estimate    time.Duration
	// scan is the last run of pump that tried it.
	lastScan uint64
	// safety says that the last try found no replica without other suspects.
	waitsForSafeReplica bool
}

// grant is a grant with what its end has to undo.
type grant struct {
	Grant
	parts        []*grantPart
	class        LengthClass
	priority     int64
	workspace    string
	fingerprint  uint64
	blocks       []uint64
	cachedBlocks int
	maxTokens    int
	// deadline is zero for adopted grants. decode is the expected time of the completion in seconds.
	deadline      time.Time
	decodeSeconds float64
	grantedAt     time.Time
	lastEvent     time.Time
	firstTokenAt  time.Time
	// expected is when the grant is expected to end, end when it ends at the latest.
	expectedEnd time.Time
	latestEnd   time.Time
	prefilled   bool
	// overtaken says that work with a higher priority came after it, so that its time to first token
	// does not measure the prefill rate.
	overtaken bool
	adopted   bool
	// creating is set while the holdings of a group are being created.
	creatingHoldings bool
}

func newCell(name string, config *Config, now time.Time) *cell {
	first, _ := SplitCell(name)
	return &cell{
		name:              name,
		firstCell:         first,
		cellCount:         cellCount(config, first),
		config:            config,
		settings:          &config.Settings,
		replicas:          make(map[string]*replica),
		prefixIndex:       prefix.NewIndex(),
		grants:            make(map[string]*grant),
		reservations:      make(map[string]*reservation),
		queue:             newFairQueue(config.Settings.ClassStep),
		endedAttempts:     make(map[string]time.Time),
		suspects:          newSuspects(),
		endedIncarnations: make(map[string][]string),
		lastReady:         now,
		meanPrefillRate:   config.Settings.PrefillRate,
		createdAt:         now,
		lastTick:          now,
	}
}

// reserve grants, queues or refuses. A repeated call for an attempt gets the first result.
func (c *cell) reserve(now time.Time, request ReserveRequest) ReserveReply {
	if c.closed {
		return ReserveReply{Status: Elsewhere}
	}
	if reply, known := c.previousReply(request.AttemptID); known {
		return reply
	}
	res := c.newReservation(now, request)
	if c.quarantined(now, request.Fingerprint) {
		return refuse(Quarantine, 0, "the request crashed endpoints before and is quarantined")
	}
	c.placeQueued(now, maxTriesPerEvent)
	result := c.place(now, res)
	if result.refusal != nil {
		return *result.refusal
	}
	if result.granted != nil {
		return c.grantImmediately(res, result.granted)
	}
	if refusal := c.admit(now, res); refusal != nil {
		return *refusal
	}
	c.reservations[request.AttemptID] = res
	c.queue.push(res)
	if result.waitsForMemory && c.hold == nil {
		c.holdFor(now, res)
	}
	return c.queuedReply(res)
}

// grantedAtOnce charges a grant that passed those that wait, and returns it, or a ticket while the
// holdings of a group are being created.
func (c *cell) grantImmediately(res *reservation, g *grant) ReserveReply {
	if c.queue.size > 0 {
		c.queueDrain.servedTokens += float64(res.cost)
		c.queue.push(res)
		c.queue.serve(res)
	}
	if !g.creatingHoldings {
		return ReserveReply{Status: Granted, Grant: g.Grant}
	}
	c.reservations[g.ID] = res
	return c.queuedReply(res)
}

// known returns the state of an attempt that has been reserved before.
func (c *cell) previousReply(attempt string) (ReserveReply, bool) {
	if res := c.reservations[attempt]; res != nil {
		if res.reply == nil {
			return c.queuedReply(res), true
		}
		if res.reply.Status != Granted {
			return *res.reply, true
		}
	}
	if g := c.grants[attempt]; g != nil {
		return ReserveReply{Status: Granted, Grant: g.Grant}, true
	}
	if _, ended := c.endedAttempts[attempt]; ended {
		return refuse(NoEndpoint, 0, "attempt %s has ended; a new attempt needs a new id", attempt), true
	}
	return ReserveReply{}, false
}

func (c *cell) newReservation(now time.Time, request ReserveRequest) *reservation {
	tokens := request.PromptTokens + request.MaxTokens
	return &reservation{
		request:   request,
		arrival:   now,
		deadline:  now.Add(request.TimeLeft),
		priority:  c.enginePriority(now, request),
		class:     Length(request.PromptTokens),
		tokens:    tokens,
		cost:      max(1, tokens),
		resolved:  make(chan struct{}),
		lastAwait: now,
	}
}

func (c *cell) enginePriority(now time.Time, request ReserveRequest) int64 {
	return c.settings.Priority(now, request, c.meanPrefillRate)
}

func (c *cell) queuedReply(res *reservation) ReserveReply {
	return ReserveReply{Status: Queued, Ticket: makeTicket(c.name, res.request.AttemptID), Estimate: res.estimate}
}

func refuse(reason Reason, after time.Duration, format string, args ...any) ReserveReply {
	return ReserveReply{Status: Refused, Reason: reason, RetryAfter: after, Message: fmt.Sprintf(format, args...)}
}

// resolve gives a queued reservation its result.
func (c *cell) resolve(now time.Time, res *reservation, reply ReserveReply) {
	c.queue.remove(res)
	res.reply, res.resolvedAt = &reply, now
	close(res.resolved)
	if c.hold != nil && c.hold.reservation == res {
		c.hold = nil
	}
}

// fetch returns the result of a resolved reservation and forgets it; a grant is still found by its id.
func (c *cell) takeReply(res *reservation) ReserveReply {
	delete(c.reservations, res.request.AttemptID)
	if res.reply.Status == Granted && c.grants[res.reply.Grant.ID] == nil {
		// The grant ended before its entry knew of it, so the attempt may be reserved again.
		delete(c.endedAttempts, res.reply.Grant.ID)
		return ReserveReply{Status: Elsewhere}
	}
	return *res.reply
}

// beginAwait returns the channel that closes when the reservation is resolved, or nil.
func (c *cell) beginAwait(now time.Time, attempt string) <-chan struct{} {
	res := c.reservations[attempt]
	if res == nil || res.reply != nil {
		return nil
	}
	res.waiters++
	res.lastAwait = now
	return res.resolved
}

func (c *cell) endAwait(now time.Time, attempt string, began bool) ReserveReply {
	res := c.reservations[attempt]
	if res == nil {
		if g := c.grants[attempt]; g != nil {
			return ReserveReply{Status: Granted, Grant: g.Grant}
		}
		return ReserveReply{Status: Elsewhere}
	}
	if began && res.waiters > 0 {
		res.waiters--
	}
	res.lastAwait = now
	if res.reply == nil {
		return c.queuedReply(res)
	}
	if g := c.grants[attempt]; g != nil {
		g.lastEvent = now
	}
	return c.takeReply(res)
}

// tick expires what has to be expired and lets time act on the queue.
func (c *cell) tick(now time.Time) {
	if gap := now.Sub(c.lastTick); gap > stallThreshold {
		c.compensateStall(gap)
	}
	c.lastTick = now
	c.resize(now)
	for _, r := range slices.Clone(c.sortedReplicas) {
		if r.moved {
			continue
		}
		r.drained = c.config.EndpointDrained(r.name)
		if now.Sub(r.lastSeen) > endpoint.DeadAfter {
			c.endpointDied(now, r, nil)
			c.removeReplica(r)
		}
	}
	for _, id := range sortedKeys(c.grants, func(g *grant) bool { return now.Sub(g.lastEvent) > GrantTTL }) {
		c.cancelGrant(now, c.grants[id])
	}
	for id, at := range c.endedAttempts {
		if now.Sub(at) > endedTTL {
			delete(c.endedAttempts, id)
		}
	}
	c.suspects.expire(now)
	c.expireLosses(now)
	for _, id := range sortedKeys(c.reservations, func(res *reservation) bool { return res.expired(now) }) {
		c.expireReservation(now, c.reservations[id])
	}
	c.queue.dropIdleFlows()
	c.queueDrain.tick(now, c.hasBacklog())
	c.updateEjections(now)
	c.placeQueued(now, maxTriesPerTick)
}

// resume moves all times of silence after this process itself was stopped or starved: events of the
// gap are still to be read, and endpoints and entries must not count as dead for it.
func (c *cell) compensateStall(gap time.Duration) {
	c.config.Logger.Warn("Dispatcher was stalled", zap.String("cell", c.name), zap.Duration("gap", gap))
	for _, r := range c.sortedReplicas {
		r.lastSeen = r.lastSeen.Add(gap)
	}
	for _, g := range c.grants {
		g.lastEvent = g.lastEvent.Add(gap)
	}
	for _, res := range c.reservations {
		res.lastAwait = res.lastAwait.Add(gap)
	}
	for id, at := range c.endedAttempts {
		c.endedAttempts[id] = at.Add(gap)
	}
}

// saturated says that work waits that one replica could run.
func (c *cell) hasBacklog() bool {
	_, largest := c.capacity()
	for _, f := range c.queue.flows {
		for _, res := range f.reservations {
			if res.tokens <= largest || largest == 0 {
				return true
			}
		}
	}
	return false
}

// forgotten says that nobody awaits the reservation any more, expired that it ends for that reason or
// because it can no longer be in time.
func (res *reservation) abandoned(now time.Time) bool {
	return res.waiters == 0 && now.Sub(res.lastAwait) > ticketTTL
}

func (res *reservation) expired(now time.Time) bool {
	return res.abandoned(now) || (res.reply == nil && !now.Add(res.serviceTime).Before(res.deadline))
}

// expireItem drops a reservation that nobody awaits, and refuses one that can no longer be in time.
func (c *cell) expireReservation(now time.Time, res *reservation) {
	if res.abandoned(now) {
		c.dropReservation(now, res)
		return
	}
	c.cancelPendingGroup(now, res)
	reply := c.tooLate(res, 0, res.serviceTime)
	if res.waitsForSafeReplica {
		reply = refuse(NoSafeEndpoint, minRetryAfter, "the request ran on an endpoint that died, and no endpoint is free of other such requests")
	}
	c.resolve(now, res, reply)
}

// dropItem forgets a reservation and what it has reserved.
func (c *cell) dropReservation(now time.Time, res *reservation) {
	c.cancelPendingGroup(now, res)
	if res.reply == nil {
		c.resolve(now, res, ReserveReply{Status: Elsewhere})
	}
	delete(c.reservations, res.request.AttemptID)
	if g := c.grants[res.request.AttemptID]; g != nil {
		c.endGrant(now, g, nil)
	}
}

// withdraw ends the group whose holdings are being created for a reservation; the result of the
// creation finds no grant and deletes the holdings.
func (c *cell) cancelPendingGroup(now time.Time, res *reservation) {
	if res.pendingGroup == nil {
		return
	}
	g := res.pendingGroup
	res.pendingGroup = nil
	c.endGrant(now, g, nil)
}

// abandon ends the view when another entry owns the cell.
func (c *cell) close() {
	c.closed = true
	for _, res := range c.reservations {
		if res.reply == nil {
			c.resolve(time.Time{}, res, ReserveReply{Status: Elsewhere})
		}
	}
}

func (c *cell) view(now time.Time) EndpointsReply {
	reply := EndpointsReply{Status: Granted}
	for _, r := range c.sortedReplicas {
		if !r.listed(now) {
			continue
		}
		reply.Endpoints = append(reply.Endpoints, r.view(now))
	}
	for _, f := range c.queue.servingOrder(now) {
		for _, res := range f.reservations {
			reply.Waiting = append(reply.Waiting, WaitingView{
				RequestID: res.request.RequestID, Workspace: res.request.Workspace, Tokens: res.tokens,
				Waited: now.Sub(res.arrival), Estimate: res.estimate,
			})
		}
	}
	return reply
}

// sample returns some endpoints that take work, at random.
func (c *cell) sample(now time.Time, count int) EndpointsReply {
	var usable []*replica
	for _, r := range c.sortedReplicas {
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
	return len(c.sortedReplicas) == 0 && len(c.reservations) == 0 && len(c.grants) == 0 && now.Sub(c.lastReady) > endedTTL
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
