package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/session"
)

// OwnerConfig holds the settings and dependencies of an Owner.
type OwnerConfig struct {
	Instance string
	View     func() (session.View, error)
}

// Owner holds the token buckets of the workspaces whose rate limit this entry owns. Its exported method is
// called over net/rpc. It is safe for concurrent use.
type Owner struct {
	config      OwnerConfig
	mu          sync.Mutex
	buckets     map[string]*bucket
	lastCleanup time.Time
	// owned caches by workspace whether this entry is the owner under the member list with
	// membershipVersion.
	owned             map[string]bool
	membershipVersion uint64
}

// NewOwner returns an Owner without buckets; they are created on first use.
func NewOwner(config OwnerConfig) *Owner {
	return &Owner{config: config, buckets: make(map[string]*bucket), lastCleanup: time.Now()}
}

// Take grants permits from a workspace's bucket.
func (o *Owner) Take(request TakeRequest, reply *TakeReply) error {
	view, err := o.config.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil || !o.owns(view, request.Workspace) {
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
	*reply = o.bucket(request.Workspace, rate, now).take(request, now)
	return nil
}

// owns reports whether this entry owns a workspace's rate limit. The result is cached until the member
// list changes. The caller holds o.mu.
func (o *Owner) owns(view session.View, workspace string) bool {
	if o.owned == nil || o.membershipVersion != view.MembershipVersion {
		o.owned, o.membershipVersion = make(map[string]bool), view.MembershipVersion
	}
	owned, ok := o.owned[workspace]
	if !ok {
		member, found := view.Owner(workspace)
		owned = found && member.Instance == o.config.Instance
		o.owned[workspace] = owned
	}
	return owned
}

// bucket finds or creates the bucket of a workspace. The caller holds o.mu.
func (o *Owner) bucket(workspace string, rate float64, now time.Time) *bucket {
	if now.Sub(o.lastCleanup) >= cleanupInterval {
		o.lastCleanup = now
		maps.DeleteFunc(o.buckets, func(_ string, b *bucket) bool { return b.idle(now) })
	}
	b := o.buckets[workspace]
	if b == nil {
		b = newBucket(rate, now)
		o.buckets[workspace] = b
	}
	if b.rate != rate {
		b.setRate(rate, now)
	}
	return b
}
