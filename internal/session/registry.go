package session

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Registry holds the sessions at the control leader, in memory only. A new leader starts with an empty
// registry and waits for one lease before it concludes that an entry has no session. It is safe for
// concurrent use.
type Registry struct {
	mu       sync.Mutex
	sessions map[string]*entrySession
	// replaced are sessions of earlier incarnations whose lease may still be valid: a restarted process
	// may run at the same time as its predecessor, which may be partitioned or frozen.
	replaced []*entrySession
	// version is membersVersion of the members, so that equal lists of different leaders have equal versions.
	version uint64
	term    uint64
	// authoritativeFrom is when all leases granted by earlier leaders have expired.
	authoritativeFrom time.Time
	// membersChanged wakes all watches, revisionApplied only those who wait for a revision to be in force.
	// One channel for both would wake every watch at every heartbeat that reports a new revision.
	membersChanged  chan struct{}
	revisionApplied chan struct{}
	// recentChanges are the last changes of the member list in this term.
	recentChanges []versionedChange
	// left has the members that ended their sessions in the first lease of this term.
	left []Member
}

// versionedChange is a change of the member list and the version that it changed.
type versionedChange struct {
	MemberChange
	before uint64
}

// maxRecentChanges limits the member changes kept for entries that lag behind. They save sending the whole
// list, which is 50 KB per entry with 380 members and changes several times when an instance restarts.
const maxRecentChanges = 256

type entrySession struct {
	member   Member
	revision uint64
	leaseEnd time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{sessions: make(map[string]*entrySession), membersChanged: make(chan struct{}), revisionApplied: make(chan struct{})}
}

// StartTerm resets the registry at the start of a term in which this instance leads. Further calls for the
// same term do nothing.
func (r *Registry) StartTerm(term uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term <= r.term {
		return
	}
	r.term = term
	r.sessions = make(map[string]*entrySession)
	r.replaced = nil
	r.version = 0
	r.recentChanges, r.left = nil, nil
	r.authoritativeFrom = now.Add(LeaseDuration + SkewAllowance)
	r.wakeWatches()
}

// Renew records a heartbeat.
func (r *Registry) Renew(request HeartbeatRequest, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := request.Member.Instance
	s := r.sessions[name]
	if request.Leave {
		if s != nil && s.member.Incarnation == request.Member.Incarnation {
			delete(r.sessions, name)
			r.recordChange(MemberChange{Member: s.member, Removed: true}, s.member.digest())
		}
		if now.Before(r.authoritativeFrom) {
			r.left = append(r.left, request.Member)
		}
		return
	}
	if s == nil || s.member != request.Member {
		if s != nil && s.member.Incarnation != request.Member.Incarnation {
			r.replaced = append(r.replaced, s)
			s = nil
		}
		var replaced uint64
		if old := r.sessions[name]; old != nil {
			replaced = old.member.digest()
		}
		if s == nil {
			s = &entrySession{}
			r.sessions[name] = s
		}
		s.member = request.Member
		r.recordChange(MemberChange{Member: s.member}, replaced)
	}
	if request.Revision > s.revision {
		s.revision = request.Revision
		close(r.revisionApplied)
		r.revisionApplied = make(chan struct{})
	}
	s.leaseEnd = now.Add(LeaseDuration + SkewAllowance)
}

// Expire removes the sessions whose lease has expired.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replaced = slices.DeleteFunc(r.replaced, func(s *entrySession) bool { return now.After(s.leaseEnd) })
	for name, s := range r.sessions {
		if now.After(s.leaseEnd) {
			delete(r.sessions, name)
			r.recordChange(MemberChange{Member: s.member, Removed: true}, s.member.digest())
		}
	}
}

// recordChange adds a change of the member list, which replaces a member with the given digest, or none if it is 0. The
// caller holds r.mu.
func (r *Registry) recordChange(change MemberChange, replaced uint64) {
	r.recentChanges = append(r.recentChanges, versionedChange{change, r.version})
	r.version -= replaced
	if !change.Removed {
		r.version += change.Member.digest()
	}
	if len(r.recentChanges) > maxRecentChanges {
		r.recentChanges = slices.Clone(r.recentChanges[len(r.recentChanges)-maxRecentChanges/2:])
	}
	r.wakeWatches()
}

// Members returns the member list, sorted by instance, and its version.
func (r *Registry) Members() ([]Member, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members(), r.version
}

func (r *Registry) members() []Member {
	members := make([]Member, 0, len(r.sessions))
	for _, s := range r.sessions {
		members = append(members, s.member)
	}
	sortMembers(members)
	return members
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
}

// FillMembers adds to the reply the changes of the member list since the given version, or the whole list when they are
// not known. During the first lease of a term the list lacks the members that have not sent a heartbeat to this leader yet,
// so an entry keeps the list of the term before. It receives only those that drain or have left.
func (r *Registry) FillMembers(version uint64, now time.Time, reply *HeartbeatReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, known := r.changesSince(version)
	switch {
	case known:
		reply.MembershipVersion, reply.MemberChanges = r.version, changes
	case r.keepsEarlierList(version, now):
		reply.MembershipVersion, reply.MemberChanges = version, r.departures()
	default:
		reply.MembershipVersion = r.version
		reply.AllMembers = true
		reply.Members = r.members()
	}
}

// changesSince returns the changes of this term since a version, and false if the version is not one of this term or too
// old. The caller holds r.mu.
func (r *Registry) changesSince(version uint64) (changes []MemberChange, known bool) {
	if version == r.version {
		return nil, true
	}
	for i := len(r.recentChanges) - 1; i >= 0; i-- {
		changes = append(changes, r.recentChanges[i].MemberChange)
		if r.recentChanges[i].before == version && version != 0 {
			slices.Reverse(changes)
			return changes, true
		}
	}
	return nil, false
}

// keepsEarlierList reports whether an entry with an unknown version keeps its list. The caller holds r.mu.
func (r *Registry) keepsEarlierList(version uint64, now time.Time) bool {
	return version != 0 && now.Before(r.authoritativeFrom)
}

// departures returns the members that drain, and those that have left in this term. The caller holds r.mu.
func (r *Registry) departures() []MemberChange {
	var changes []MemberChange
	for _, m := range r.left {
		if r.sessions[m.Instance] == nil {
			changes = append(changes, MemberChange{Member: m, Removed: true})
		}
	}
	for _, s := range r.sessions {
		if s.member.Draining {
			changes = append(changes, MemberChange{Member: s.member})
		}
	}
	return changes
}

// HasNews reports whether the member list differs from the version that an entry knows, as far as the entry should know.
func (r *Registry) HasNews(version uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version == r.version {
		return false
	}
	if !r.keepsEarlierList(version, now) {
		return true
	}
	_, known := r.changesSince(version)
	return known
}

// HasSession reports whether the entry, as instance/incarnation, has a session. During the first lease of a
// term it always reports true, because sessions may exist that the registry does not know yet.
func (r *Registry) HasSession(entry string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.authoritativeFrom) {
		return true
	}
	for _, s := range r.sessions {
		if s.member.Instance+"/"+s.member.Incarnation == entry {
			return true
		}
	}
	return false
}

// InForce reports whether no entry can admit requests under an older revision: each session has applied the
// revision or its lease has expired, and all leases granted by earlier leaders have expired too.
func (r *Registry) InForce(revision uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.authoritativeFrom) {
		return false
	}
	for _, s := range r.sessions {
		if s.mayAdmitBefore(revision, now) {
			return false
		}
	}
	return !slices.ContainsFunc(r.replaced, func(s *entrySession) bool { return s.mayAdmitBefore(revision, now) })
}

// mayAdmitBefore reports whether the entry may still admit requests under a revision before the given one.
func (s *entrySession) mayAdmitBefore(revision uint64, now time.Time) bool {
	return s.revision < revision && !now.After(s.leaseEnd)
}

// RevisionApplied returns a channel that is closed when a session next applies a revision.
func (r *Registry) RevisionApplied() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revisionApplied
}

// MembersChanged returns a channel that is closed at the next change of members.
func (r *Registry) MembersChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membersChanged
}

// wakeWatches wakes those who wait for a change of members. The caller holds r.mu.
func (r *Registry) wakeWatches() {
	close(r.membersChanged)
	r.membersChanged = make(chan struct{})
}
