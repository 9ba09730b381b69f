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
	// ticketTTL is how long a ticket stays valid without an Await call.
	ticketTTL = 2 * time.Second
	// endedTTL is how long ended attempts are remembered, so that late events do not adopt their grants
	// again. It is longer than an entry keeps reporting a grant after it last heard of it.
	endedTTL = 4 * GrantTTL
	// discoveryTime is how long reservations wait for the first ready endpoint. A new dispatcher receives an
	// announcement of every live endpoint within that time.
	discoveryTime = endpoint.DeadAfter
	// stallThreshold is the time between two ticks above which the process is considered to have been
	// stopped or starved; ticks are normally tickInterval apart.
	stallThreshold = time.Second
	// maxTriesPerEvent and maxTriesPerTick limit how many queued reservations one event and one tick try
	// to place; 32 tries took about 0.1 ms with 32 replicas.
	maxTriesPerEvent = 32
	maxTriesPerTick  = 512
)

// cell holds the state of one cell and makes all decisions on it. Its methods do no I/O and take the time
// as an argument; calls to endpoints are collected in pendingCalls.
type cell struct {
	name string
	// firstCell is the name of the model's first cell, cellCount the number of its cells at the last tick.
	firstCell string
	cellCount int
	config    *Config
	settings  *Settings
	mu        sync.Mutex
	replicas  map[string]*replica
	// sortedReplicas has the replicas sorted by name.
	sortedReplicas []*replica
	prefixIndex    *prefix.Index
	prefixHits     []int
	grants         map[string]*grant
	// reservations has the queued reservations, and resolved ones until their reply has been taken, by
	// attempt ID.
	reservations map[string]*reservation
	queue        *fairQueue
	hold         *hold
	// endedAttempts has the time at which each recent attempt ended.
	endedAttempts map[string]time.Time
	suspects      suspects
	// endedIncarnations has the ended incarnations of endpoints by name.
	endedIncarnations map[string][]string
	// lastReady is when an endpoint could last accept work.
	lastReady time.Time
	// createdAt is when this dispatcher took over the cell.
	createdAt        time.Time
	lastTick         time.Time
	meanPrefillRate  float64
	meanOutputTokens float64
	// outputShare is the mean ratio of a completion's length to its limit, MaxTokens.
	outputShare float64
	queueDrain  drainRate
	// scanNumber counts the runs of placeQueued, groupNumber the groups that were reserved.
	scanNumber, groupNumber uint64
	// changes is nil until the first request for changes.
	changes      *changeLog
	closed       bool
	pendingCalls []call
}

// reservation is a request for endpoints that has not been granted or whose reply has not been taken.
type reservation struct {
	request  ReserveRequest
	arrival  time.Time
	deadline time.Time
	priority int64
	class    LengthClass
	tokens   int
	// cost is what fair queueing charges to the workspace; it is 0 once it has been charged.
	cost     int
	flow     *flow
	resolved chan struct{}
	// reply is set when the reservation is granted, refused or dropped; resolved is closed then.
	reply      *ReserveReply
	resolvedAt time.Time
	waiters    int
	lastAwait  time.Time
	notBefore  time.Time
	// pendingGroup is the group whose holdings are being created.
	pendingGroup *grant
	// serviceTime is the shortest expected time from the start of the prefill to the end of the completion.
	// estimate is the expected time from arrival to first token.
	serviceTime time.Duration
	estimate    time.Duration
	// lastScan is the last run of placeQueued that tried it.
	lastScan uint64
	// waitsForSafeReplica is true if the last try found no replica without another suspect.
	waitsForSafeReplica bool
}

// grant is a grant with the bookkeeping that has to be undone when it ends.
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
	// deadline is zero for adopted grants. decodeSeconds is the expected time of the completion.
	deadline      time.Time
	decodeSeconds float64
	grantedAt     time.Time
	lastEvent     time.Time
	firstTokenAt  time.Time
	// expectedEnd assumes a completion of the expected length, latestEnd one that reaches its limit.
	expectedEnd time.Time
	latestEnd   time.Time
	prefilled   bool
	// overtaken is true if work of higher priority arrived later and was queued ahead of it. Its time to
	// first token then does not measure the prefill rate.
	overtaken bool
	adopted   bool
	// creatingHoldings is true while the holdings of a group are being created.
	creatingHoldings bool
}

func newCell(name string, config *Config, now time.Time) *cell {
	firstCell, _ := SplitCell(name)
	return &cell{
		name:              name,
		firstCell:         firstCell,
		cellCount:         cellCount(config, firstCell),
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

// reserve grants, queues or refuses a request. A repeated call for an attempt gets the first result.
func (c *cell) reserve(now time.Time, request ReserveRequest) ReserveReply {
	if c.closed {
		return ReserveReply{Status: Elsewhere}
	}
	if reply, known := c.previousReply(request.AttemptID); known {
		return reply
	}
	res := c.newReservation(now, request)
	if c.quarantined(now, request.Fingerprint) {
		return refuse(Quarantined, 0, "the request crashed endpoints before and is quarantined")
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

// grantImmediately returns a grant that did not wait in the queue, or a ticket while the holdings of a
// group are being created. If others wait, the workspace is charged as if it had been queued.
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

// previousReply returns the current result of an attempt that has been reserved before.
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
		class:     LengthClassOf(request.PromptTokens),
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

// resolve sets the result of a queued reservation and wakes those that await it.
func (c *cell) resolve(now time.Time, res *reservation, reply ReserveReply) {
	c.queue.remove(res)
	res.reply, res.resolvedAt = &reply, now
	close(res.resolved)
	if c.hold != nil && c.hold.reservation == res {
		c.hold = nil
	}
}

// takeReply returns the result of a resolved reservation and forgets the reservation; a grant can still
// be found by its ID.
func (c *cell) takeReply(res *reservation) ReserveReply {
	delete(c.reservations, res.request.AttemptID)
	if res.reply.Status == Granted && c.grants[res.reply.Grant.ID] == nil {
		// The grant ended before its entry learned of it, so the attempt may be reserved again.
		delete(c.endedAttempts, res.reply.Grant.ID)
		return ReserveReply{Status: Elsewhere}
	}
	return *res.reply
}

// beginAwait returns a channel that is closed when the reservation is resolved, or nil if there is
// nothing to wait for.
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

// tick expires endpoints, grants and reservations, updates time-dependent state and places queued
// reservations.
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
		r.drained = c.config.EndpointDrained(r.name, r.announcement.DataCentre)
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

// compensateStall moves the recorded times of last contact forward by the gap after this process itself was
// stopped or starved. The events of the gap have not been read yet, and endpoints and entries must not count
// as dead because of it.
func (c *cell) compensateStall(gap time.Duration) {
	c.config.Logger.Warn("Dispatcher did not run for some time; extending its timeouts by the gap", zap.String("cell", c.name), zap.Duration("gap", gap))
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

// hasBacklog reports whether a reservation is queued that fits one replica.
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

// abandoned reports whether the entry has stopped awaiting the reservation.
func (res *reservation) abandoned(now time.Time) bool {
	return res.waiters == 0 && now.Sub(res.lastAwait) > ticketTTL
}

// expired reports whether the reservation is abandoned or can no longer meet its deadline.
func (res *reservation) expired(now time.Time) bool {
	return res.abandoned(now) || (res.reply == nil && !now.Add(res.serviceTime).Before(res.deadline))
}

// expireReservation drops an abandoned reservation, and refuses one that can no longer meet its deadline.
func (c *cell) expireReservation(now time.Time, res *reservation) {
	if res.abandoned(now) {
		c.dropReservation(now, res)
		return
	}
	c.cancelPendingGroup(now, res)
	reply := c.refuseTooLate(res, 0, res.serviceTime)
	if res.waitsForSafeReplica {
		reply = refuse(NoSafeEndpoint, minRetryAfter, "the request ran on an endpoint that died, and no endpoint is free of other such requests")
	}
	c.resolve(now, res, reply)
}

// dropReservation forgets a reservation and ends its grant.
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

// cancelPendingGroup ends the group whose holdings are being created for a reservation. When the creation
// completes, it finds no grant and deletes the holdings.
func (c *cell) cancelPendingGroup(now time.Time, res *reservation) {
	if res.pendingGroup == nil {
		return
	}
	g := res.pendingGroup
	res.pendingGroup = nil
	c.endGrant(now, g, nil)
}

// close resolves all queued reservations as Elsewhere when another entry owns the cell now.
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

// sample returns randomly chosen endpoints that accept work.
func (c *cell) sample(now time.Time, count int) EndpointsReply {
	var usable []*replica
	for _, r := range c.sortedReplicas {
		if r.listed(now) && r.acceptsWork() && !r.ejected {
			usable = append(usable, r)
		}
	}
	reply := EndpointsReply{Status: Granted}
	for _, i := range rand.Perm(len(usable))[:min(count, len(usable))] {
		reply.Endpoints = append(reply.Endpoints, usable[i].view(now))
	}
	return reply
}

// idle reports whether the cell has no state left and can be dropped.
func (c *cell) idle(now time.Time) bool {
	return len(c.sortedReplicas) == 0 && len(c.reservations) == 0 && len(c.grants) == 0 && now.Sub(c.lastReady) > endedTTL
}

// sortedKeys returns the sorted keys of the values that match, so that results do not depend on the
// iteration order of maps.
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
