package dispatch

import (
	"fmt"
	"math/bits"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// forEachSubset calls check for each non-empty subset of the replicas.
func forEachSubset(replicas []*replica, check func(set []*replica)) {
	for mask := 1; mask < 1<<len(replicas); mask++ {
		set := make([]*replica, 0, bits.OnesCount(uint(mask)))
		for i, r := range replicas {
			if mask&(1<<i) != 0 {
				set = append(set, r)
			}
		}
		check(set)
	}
}

func totalOf(set []*replica, value func(*replica) int) int {
	sum := 0
	for _, r := range set {
		sum += max(0, value(r))
	}
	return sum
}

// Guards against a group that is larger than needed, a group that is not found although its memory is free,
// an estimated start later than the earliest possible one, and parts that do not fit their members. The
// results are compared with a search over all subsets of the replicas.
func TestGroupsAgainstAllSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := testCellWith(testConfig()), epoch
		for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
			c.announce(now, engine(i, rapid.IntRange(1, 20).Draw(t, "memory")*100))
			r := c.sortedReplicas[i]
			for j := range rapid.IntRange(0, 3).Draw(t, "grants") {
				tokens := rapid.IntRange(0, max(0, r.freeTokens())).Draw(t, "tokens")
				g := &grant{Grant: Grant{ID: fmt.Sprint(i, j)}, latestEnd: now.Add(time.Duration(rapid.IntRange(2, 20).Draw(t, "end")) * time.Second)}
				g.parts = []*grantPart{{grant: g, replica: r, tokens: tokens}}
				c.addGrant(now, g)
			}
		}
		res := c.newReservation(now, request("a", rapid.IntRange(1, 9000).Draw(t, "need"), 0))
		_, candidates := c.groupCandidates(res)
		memory := func(r *replica) int { return r.announcement.Memory }
		wantSize := 0
		forEachSubset(candidates, func(set []*replica) {
			if totalOf(set, memory) >= res.tokens && (wantSize == 0 || len(set) < wantSize) {
				wantSize = len(set)
			}
		})
		size, _ := smallestGroup(candidates, res.tokens)
		if size != wantSize {
			t.Fatalf("the smallest group has %d members, want %d", size, wantSize)
		}
		if size == 0 {
			return
		}
		free, earliest := false, now.Add(time.Hour)
		forEachSubset(candidates, func(set []*replica) {
			if len(set) != size {
				return
			}
			free = free || totalOf(set, (*replica).freeTokens) >= res.tokens
			for _, r := range candidates {
				for _, end := range append([]time.Time{now}, grantEnds(r)...) {
					at := func(r *replica) int { return r.freeTokens() + freedBy(r, end) }
					if totalOf(set, at) >= res.tokens && end.Before(earliest) {
						earliest = end
					}
				}
			}
		})
		members := freeGroup(candidates, size, res.tokens, (*replica).freeTokens)
		if (members != nil) != free {
			t.Fatalf("group %v, want one: %v", members, free)
		}
		if _, start := earliestGroup(now, candidates, size, res.tokens, latestEnd); !start.Equal(earliest) {
			t.Fatalf("starts after %v, want %v", start.Sub(now), earliest.Sub(now))
		}
		if members == nil {
			return
		}
		total := 0
		for i, share := range splitTokens(members, res.tokens) {
			total += share
			if share < 0 || share > members[i].freeTokens() {
				t.Fatalf("share %d of %s does not fit its %d free tokens", share, members[i].name, members[i].freeTokens())
			}
		}
		if total != res.tokens {
			t.Fatalf("shares add up to %d of %d tokens", total, res.tokens)
		}
	})
}

func grantEnds(r *replica) []time.Time {
	var all []time.Time
	for _, p := range r.parts {
		all = append(all, p.grant.latestEnd)
	}
	return all
}

func freedBy(r *replica, at time.Time) int {
	sum := 0
	for _, p := range r.parts {
		if !p.grant.latestEnd.After(at) {
			sum += p.tokens
		}
	}
	return sum
}

// groupUnderLoad floods two engines with small requests that use memory for two seconds, and adds a group that
// needs all memory of both. It returns the group's wait, or 0 if it was not granted within two minutes, and
// the number of other grants. Without holds, free memory always goes to whatever fits.
func groupUnderLoad(withHolds bool) (group time.Duration, others int) {
	c := testCellWith(testConfig())
	if !withHolds {
		// A hold without replicas that never ends prevents real ones.
		c.hold = &hold{reservation: &reservation{flow: &flow{}, notBefore: epoch.Add(time.Hour)}}
	}
	running := map[string]time.Time{}
	for step := range 1200 {
		now := epoch.Add(time.Duration(step) * 100 * time.Millisecond)
		if step%10 == 0 {
			c.announce(now, engine(0, 1000))
			c.announce(now, engine(1, 1000))
		}
		if step%2 == 0 {
			r := request(fmt.Sprintf("a%d", step), 300, 60)
			r.Workspace = fmt.Sprintf("workspace-%d", step%5)
			r.TimeLeft = 10 * time.Second
			c.reserve(now, r)
		}
		if step == 50 {
			r := request("group", 1900, 100)
			r.TimeLeft = 10 * time.Minute
			c.reserve(now, r)
		}
		for _, id := range allKeys(c.reservations) {
			c.beginAwait(now, id)
			c.endAwait(now, id, true)
		}
		for _, id := range allKeys(c.grants) {
			if id == "group" {
				return now.Sub(epoch.Add(5 * time.Second)), others
			}
			if running[id].IsZero() {
				running[id] = now
				others++
			}
			c.report(now, Event{Cell: testCell, Grant: id, Type: KeepAlive, Prefilled: true})
			if now.Sub(running[id]) >= 2*time.Second {
				c.report(now, Event{Cell: testCell, Grant: id, Type: Finished})
			}
		}
		c.tick(now)
	}
	return 0, others
}

// Guards against a group that starves behind single requests. Without holds, free memory goes to whatever
// fits and the group never starts.
func TestGroupDoesNotStarve(t *testing.T) {
	is := is.New(t)
	waitWithoutHolds, others := groupUnderLoad(false)
	is.Equal(waitWithoutHolds, time.Duration(0))
	is.True(others > 100)
	wait, others := groupUnderLoad(true)
	t.Logf("the group started after %v, with %d others before it", wait, others)
	is.True(wait > 0 && wait <= 12*time.Second)
	is.True(others > 0)
}

// Guards against backfill that delays a waiting group, and against holding back work that ends before the
// group starts.
func TestBackfillEndsBeforeTheGroup(t *testing.T) {
	is := is.New(t)
	c := testCellWith(testConfig())
	c.announce(epoch, engine(0, 1000))
	c.announce(epoch, engine(1, 1000))
	is.Equal(c.reserve(epoch, request("running", 100, 600)).Status, Granted) // ends after 20 s
	is.Equal(c.reserve(epoch, request("group", 1500, 100)).Status, Queued)
	is.Equal(c.hold.start, c.grants["running"].latestEnd)
	is.Equal(c.reserve(epoch, request("short", 100, 100)).Status, Granted) // ends after 4 s
	is.Equal(c.reserve(epoch, request("late", 100, 800)).Status, Queued)   // would end after 27 s
	c.report(epoch, Event{Cell: testCell, Grant: "running", Type: Finished})
	c.report(epoch, Event{Cell: testCell, Grant: "short", Type: Finished})
	is.True(c.grants["group"] != nil)
	is.True(c.grants["late"] == nil)
	is.Equal(len(c.pendingCalls), 1) // the creation of the group's holdings
}
