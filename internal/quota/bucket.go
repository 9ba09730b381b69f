package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of one workspace at its owner. Permits that entries hold count towards the
// burst, except one for each entry: otherwise a few idle entries could hold the whole burst of a workspace.
type bucket struct {
	rate float64
	// level is the number of permits in the bucket at the time refilledAt.
	level      float64
	refilledAt time.Time
	entries    map[string]entryState
}

// entryState is what the owner knows about one entry.
type entryState struct {
	// held is an upper bound of the permits at the entry: it may have used some, or a reply may be lost.
	held        int
	share       float64
	lastRequest time.Time
}

// newBucket returns a full bucket, so a change of owner allows one extra burst.
func newBucket(rate float64, now time.Time) *bucket {
	return &bucket{rate: rate, level: float64(burst(rate)), refilledAt: now, entries: make(map[string]entryState)}
}

// setRate applies a changed rate.
func (b *bucket) setRate(rate float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, float64(burst(rate)))
}

func (b *bucket) take(request TakeRequest, now time.Time) TakeReply {
	b.dropExpired(now)
	e := b.entries[request.Entry]
	e.held, e.lastRequest = max(0, request.Held), now
	b.entries[request.Entry] = e
	b.refill(now)
	active, others := b.activeShares(request.Entry, now)
	// An equal part of the level leaves permits for the other active entries.
	granted := max(0, min(request.Want, int(b.level), max(1, int(b.level)/active)))
	b.level -= float64(granted)
	e.held += granted
	e.share = max(0, min(b.rate/float64(active), b.rate-others))
	b.entries[request.Entry] = e
	reply := TakeReply{Granted: granted, Share: e.share}
	if granted == 0 {
		reply.Wait = b.backOff(active)
	}
	return reply
}

// backOff returns the time in which the bucket gains one permit for each active entry.
func (b *bucket) backOff(active int) time.Duration {
	seconds := float64(active) * max(0, 1-b.level) / b.rate
	return time.Duration(min(max(seconds, minBackOff.Seconds()), maxBackOff.Seconds()) * float64(time.Second))
}

// activeShares returns the number of entries that called within shareTTL and the sum of their shares
// without that of the given entry.
func (b *bucket) activeShares(entry string, now time.Time) (active int, others float64) {
	for name, e := range b.entries {
		if expired(now, e.lastRequest, shareTTL) {
			continue
		}
		active++
		if name != entry {
			others += e.share
		}
	}
	return active, others
}

// refill adds the permits accrued since the last refill. The level is capped at the burst minus the
// permits that entries hold.
func (b *bucket) refill(now time.Time) {
	capacity := burst(b.rate)
	for _, e := range b.entries {
		capacity -= max(0, e.held-1)
	}
	b.level += b.rate * max(0, now.Sub(b.refilledAt).Seconds())
	b.level = math.Max(0, math.Min(b.level, float64(capacity)))
	b.refilledAt = now
}

// dropExpired drops permits that have expired at the entries. Entries measure the age from when they sent
// the request, the owner from its later arrival, so permits never expire here first.
func (b *bucket) dropExpired(now time.Time) {
	for name, e := range b.entries {
		switch {
		case expired(now, e.lastRequest, lastPermitTTL):
			delete(b.entries, name)
		case expired(now, e.lastRequest, sparePermitTTL):
			e.held = min(e.held, 1)
			b.entries[name] = e
		}
	}
}

func expired(now, lastRequest time.Time, limit time.Duration) bool {
	return now.Sub(lastRequest) > time.Duration(float64(limit)*clockSkewFactor)
}

// idle reports whether the bucket equals a new one, so that it can be removed.
func (b *bucket) idle(now time.Time) bool {
	b.dropExpired(now)
	b.refill(now)
	return len(b.entries) == 0 && b.level >= float64(burst(b.rate))
}
