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

// Home holds the buckets of the workspaces whose home this entry is. Its exported method has the form of
// net/rpc. It is safe for concurrent use.
type Home struct {
	config  HomeConfig
	mu      sync.Mutex
	buckets map[string]*bucket
	swept   time.Time
	// owned says which workspaces have their home here, by the member list of the version.
	owned   map[string]bool
	version uint64
}

// NewHome returns a home without buckets; they are made as workspaces are used.
func NewHome(config HomeConfig) *Home {
	return &Home{config: config, buckets: make(map[string]*bucket), swept: time.Now()}
}

// Take hands out a slice of a workspace's rate.
func (h *Home) Take(request TakeRequest, reply *TakeReply) error {
	view, err := h.config.View()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || !h.owns(view, request.Workspace) {
		// An entry that has lost its lease may have been replaced as home.
		*reply = TakeReply{Elsewhere: true}
		return nil
	}
	rate := view.Configuration.Workspaces[request.Workspace].RequestRate
	if rate <= 0 {
		// The limit was removed in a revision that the asking entry is yet to apply.
		*reply = TakeReply{Granted: request.Want}
		return nil
	}
	now := time.Now()
	*reply = h.bucket(request.Workspace, rate, now).take(request, now)
	return nil
}

// owns reports whether this entry is the home of a workspace. The result is kept for as long as the
// member list does not change. The caller holds h.mu.
func (h *Home) owns(view session.View, workspace string) bool {
	if h.owned == nil || h.version != view.MembershipVersion {
		h.owned, h.version = make(map[string]bool), view.MembershipVersion
	}
	owned, ok := h.owned[workspace]
	if !ok {
		member, found := view.Home(workspace)
		owned = found && member.Instance == h.config.Instance
		h.owned[workspace] = owned
	}
	return owned
}

// bucket finds or makes the bucket of a workspace. The caller holds h.mu.
func (h *Home) bucket(workspace string, rate float64, now time.Time) *bucket {
	if now.Sub(h.swept) >= sweepInterval {
		h.swept = now
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
