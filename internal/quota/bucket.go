package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of one workspace at its home. What entries hold counts towards the burst, but
// for one request of each entry: otherwise a few idle entries could hold the whole burst of a workspace.
type bucket struct {
	rate float64
	// level is in requests, as of at.
	level   float64
	at      time.Time
	holders map[string]holder
}

// holder is what the home knows of one entry.
type holder struct {
	// held is at least what the entry holds: it may have spent some, or not have received an answer.
	held  int
	share float64
	asked time.Time
}

// newBucket returns a full bucket. A new home thus allows one burst more than the one before it.
func newBucket(rate float64, now time.Time) *bucket {
	return &bucket{rate: rate, level: float64(burst(rate)), at: now, holders: make(map[string]holder)}
}

// setRate takes over a changed configuration.
func (b *bucket) setRate(rate float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, float64(burst(rate)))
}

func (b *bucket) take(request TakeRequest, now time.Time) TakeReply {
	b.forget(now)
	h := b.holders[request.Entry]
	h.held, h.asked = max(0, request.Held), now
	b.holders[request.Entry] = h
	b.refill(now)
	active, others := b.shares(request.Entry, now)
	// A part of what is there leaves something for the other entries.
	granted := max(0, min(request.Want, int(b.level), max(1, int(b.level)/active)))
	b.level -= float64(granted)
	h.held += granted
	h.share = max(0, min(b.rate/float64(active), b.rate-others))
	b.holders[request.Entry] = h
	reply := TakeReply{Granted: granted, Share: h.share}
	if granted == 0 {
		reply.Wait = b.wait(active)
	}
	return reply
}

// wait is the time in which a request for each active entry comes in.
func (b *bucket) wait(active int) time.Duration {
	seconds := float64(active) * max(0, 1-b.level) / b.rate
	return time.Duration(min(max(seconds, minWait.Seconds()), maxWait.Seconds()) * float64(time.Second))
}

// shares returns the number of entries that asked lately and the sum of the shares of all but one.
func (b *bucket) shares(entry string, now time.Time) (active int, others float64) {
	for name, h := range b.holders {
		if passed(now, h.asked, shareTime) {
			continue
		}
		active++
		if name != entry {
			others += h.share
		}
	}
	return active, others
}

// refill adds what has come in since the last time, up to the burst less what entries hold.
func (b *bucket) refill(now time.Time) {
	room := burst(b.rate)
	for _, h := range b.holders {
		room -= max(0, h.held-1)
	}
	b.level += b.rate * max(0, now.Sub(b.at).Seconds())
	b.level = math.Max(0, math.Min(b.level, float64(room)))
	b.at = now
}

// forget drops what entries no longer hold. Entries count from the moment at which they asked, the home
// from the later one at which the request arrived.
func (b *bucket) forget(now time.Time) {
	for name, h := range b.holders {
		switch {
		case passed(now, h.asked, holdTime):
			delete(b.holders, name)
		case passed(now, h.asked, spareTime):
			h.held = min(h.held, 1)
			b.holders[name] = h
		}
	}
}

func passed(now, asked time.Time, limit time.Duration) bool {
	return now.Sub(asked) > time.Duration(float64(limit)*skewFactor)
}

// idle reports whether a new bucket would be the same.
func (b *bucket) idle(now time.Time) bool {
	b.forget(now)
	b.refill(now)
	return len(b.holders) == 0 && b.level >= float64(burst(b.rate))
}
