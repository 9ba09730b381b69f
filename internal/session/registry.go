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
	// version changes with the member list. It starts at the time of election, so that versions of
	// different leaders differ.
	version uint64
	term    uint64
	// complete is the time from which no lease of an earlier leader can hold.
	complete time.Time
	changed  chan struct{}
}

type entrySession struct {
	member   Member
	revision uint64
	leaseEnd time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{sessions: make(map[string]*entrySession), changed: make(chan struct{})}
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
	r.version = uint64(now.UnixNano())
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
			r.version++
			r.notify()
		}
		return
	}
	if s == nil || s.member != request.Member {
		if s == nil || s.member.Incarnation != request.Member.Incarnation {
			s = &entrySession{}
			r.sessions[name] = s
		}
		s.member = request.Member
		r.version++
		r.notify()
	}
	if request.Revision > s.revision || s.leaseEnd.IsZero() {
		s.revision = request.Revision
		r.notify()
	}
	s.leaseEnd = now.Add(LeaseLength + SkewAllowance)
}

// Expire removes the sessions whose lease has run out and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.sessions)
	for name, s := range r.sessions {
		if now.After(s.leaseEnd) {
			delete(r.sessions, name)
		}
	}
	if len(r.sessions) == before {
		return false
	}
	r.version++
	r.notify()
	return true
}

// Members returns the member list, sorted by instance, and its version.
func (r *Registry) Members() ([]Member, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := make([]Member, 0, len(r.sessions))
	for _, s := range r.sessions {
		members = append(members, s.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return members, r.version
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
		if s.revision < revision && !now.After(s.leaseEnd) {
			return false
		}
	}
	return true
}

// Changed returns a channel that is closed at the next change of members or applied revisions.
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
