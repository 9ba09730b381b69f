package session

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Registry holds the sessions at the control leader. It lives in memory only: a new leader starts
// with an empty one and waits a lease before it relies on an absence. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	sessions map[string]*entrySession
	// replaced are sessions of earlier incarnations whose lease may still hold: a process that was
	// started again may run beside one that is cut off or frozen.
	replaced []*entrySession
	// version changes with the member list. It starts at the time of election, so that versions of
	// different leaders differ.
	version uint64
	term    uint64
	// complete is the time from which no lease of an earlier leader can hold.
	complete time.Time
	// changed wakes all watches, progress only those who wait for a revision to be in force. One
	// channel for both would wake every watch for every heartbeat that applies a revision.
	changed  chan struct{}
	progress chan struct{}
	// changes lead from version-len(changes) to version.
	changes []MemberChange
}

// maxChanges bounds the member changes that are kept for entries that lag behind. A whole list of 380
// members is 50 KB for each entry, and a restart changes it several times.
const maxChanges = 256

type entrySession struct {
	member   Member
	revision uint64
	leaseEnd time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{sessions: make(map[string]*entrySession), changed: make(chan struct{}), progress: make(chan struct{})}
}

// Lead resets the registry at the start of a term; a later call for the same term does nothing.
func (r *Registry) Lead(term uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term <= r.term {
		return
	}
	r.term = term
	r.sessions = make(map[string]*entrySession)
	r.replaced = nil
	r.version = uint64(now.UnixNano())
	r.changes = nil
	r.complete = now.Add(LeaseLength + SkewAllowance)
	r.notify()
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
			r.record(MemberChange{Member: s.member, Removed: true})
		}
		return
	}
	if s == nil || s.member != request.Member {
		if s != nil && s.member.Incarnation != request.Member.Incarnation {
			r.replaced = append(r.replaced, s)
			s = nil
		}
		if s == nil {
			s = &entrySession{}
			r.sessions[name] = s
		}
		s.member = request.Member
		r.record(MemberChange{Member: s.member})
	}
	if request.Revision > s.revision {
		s.revision = request.Revision
		close(r.progress)
		r.progress = make(chan struct{})
	}
	s.leaseEnd = now.Add(LeaseLength + SkewAllowance)
}

// Expire removes the sessions whose lease has run out.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replaced = slices.DeleteFunc(r.replaced, func(s *entrySession) bool { return now.After(s.leaseEnd) })
	for name, s := range r.sessions {
		if now.After(s.leaseEnd) {
			delete(r.sessions, name)
			r.record(MemberChange{Member: s.member, Removed: true})
		}
	}
}

// record adds a change of the member list. The caller holds r.mu.
func (r *Registry) record(change MemberChange) {
	r.version++
	r.changes = append(r.changes, change)
	if len(r.changes) > maxChanges {
		r.changes = slices.Clone(r.changes[len(r.changes)-maxChanges/2:])
	}
	r.notify()
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

// Fill adds to the reply what the entry with the given version lacks of the member list.
func (r *Registry) Fill(version uint64, reply *HeartbeatReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.MembershipVersion = r.version
	missing := r.version - version
	switch {
	case missing == 0:
	case version < r.version && missing <= uint64(len(r.changes)):
		reply.MemberChanges = slices.Clone(r.changes[uint64(len(r.changes))-missing:])
	default:
		reply.AllMembers = true
		reply.Members = r.members()
	}
}

// Version returns the version of the member list.
func (r *Registry) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Live reports whether the entry, as instance/incarnation, has a session. It is true while the
// registry cannot tell, in the first lease of a term.
func (r *Registry) Live(entry string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.complete) {
		return true
	}
	for _, s := range r.sessions {
		if s.member.Instance+"/"+s.member.Incarnation == entry {
			return true
		}
	}
	return false
}

// InForce reports whether no entry can admit under an older revision: each session has applied the
// revision or its lease has run out, and so have all leases of earlier leaders.
func (r *Registry) InForce(revision uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.complete) {
		return false
	}
	for _, s := range r.sessions {
		if s.admitsBefore(revision, now) {
			return false
		}
	}
	return !slices.ContainsFunc(r.replaced, func(s *entrySession) bool { return s.admitsBefore(revision, now) })
}

// admitsBefore reports whether the entry may admit under an older revision.
func (s *entrySession) admitsBefore(revision uint64, now time.Time) bool {
	return s.revision < revision && !now.After(s.leaseEnd)
}

// Progress returns a channel that is closed when a session next applies a revision.
func (r *Registry) Progress() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress
}

// Changed returns a channel that is closed at the next change of members.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// notify wakes the waiters. The caller holds r.mu.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
