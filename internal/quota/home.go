package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/session"
)

// HomeConfig sets up a Home.
type HomeConfig struct {
	Instance string
	View     func() (session.View, error)
}

// Home holds the token buckets of the workspaces whose rate limit this entry owns. Its exported method is
// called over net/rpc. It is safe for concurrent use.
type Home struct {
	config      HomeConfig
	mu          sync.Mutex
	buckets     map[string]*bucket
	lastCleanup time.Time
	// owned caches by workspace whether this entry is the owner under the member list with
	// membershipVersion.
	owned             map[string]bool
	membershipVersion uint64
}

// NewHome returns a Home without buckets; they are created on first use.
func NewHome(config HomeConfig) *Home {
	return &Home{config: config, buckets: make(map[string]*bucket), lastCleanup: time.Now()}
}

// Take grants permits from a workspace's bucket.
func (h *Home) Take(request TakeRequest, reply *TakeReply) error {
	view, err := h.config.View()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || !h.owns(view, request.Workspace) {
		// An entry that has lost its lease may have been replaced as owner.
		*reply = TakeReply{Elsewhere: true}
		return nil
	}
	rate := view.Configuration.Workspaces[request.Workspace].RequestRate
	if rate <= 0 {
		// The limit was removed in a revision that the calling entry has not applied yet.
		*reply = TakeReply{Granted: request.Want}
		return nil
	}
	now := time.Now()
	*reply = h.bucket(request.Workspace, rate, now).take(request, now)
	return nil
}

// owns reports whether this entry owns a workspace's rate limit. The result is cached until the member
// list changes. The caller holds h.mu.
func (h *Home) owns(view session.View, workspace string) bool {
	if h.owned == nil || h.membershipVersion != view.MembershipVersion {
		h.owned, h.membershipVersion = make(map[string]bool), view.MembershipVersion
	}
	owned, ok := h.owned[workspace]
	if !ok {
		member, found := view.Owner(workspace)
		owned = found && member.Instance == h.config.Instance
		h.owned[workspace] = owned
	}
	return owned
}

// bucket finds or creates the bucket of a workspace. The caller holds h.mu.
func (h *Home) bucket(workspace string, rate float64, now time.Time) *bucket {
	if now.Sub(h.lastCleanup) >= cleanupInterval {
		h.lastCleanup = now
		maps.DeleteFunc(h.buckets, func(_ string, b *bucket) bool { return b.idle(now) })
	}
	b := h.buckets[workspace]
	if b == nil {
		b = newBucket(rate, now)
		h.buckets[workspace] = b
	}
	if b.rate != rate {
		b.setRate(rate, now)
	}
	return b
}
