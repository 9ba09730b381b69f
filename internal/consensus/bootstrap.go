package consensus

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// bootstrapTerm is the term of the first entry, which holds the initial membership.
const bootstrapTerm = 1

// bootstrap is the state before the first election. Each initial voter collects the incarnations of
// all initial voters, stores them as entry 1, and votes only after all of them have reported the
// same stored entry. From then on every voter knows every incarnation, so a voter that loses its
// files cannot vote again under its id.
type bootstrap struct {
	servers []Server
	// identities holds the members with their incarnations until they are stored.
	identities map[string]Member
	// confirmed holds the ids of the members that have stored the same entry.
	confirmed     map[string]bool
	nextRequestAt time.Duration
}

func (c *core) startBootstrap(servers []Server) {
	isNew := c.log.lastIndex() == 0 && c.state.Term == 0
	listed := slices.ContainsFunc(servers, func(s Server) bool { return s.ID == c.id })
	switch {
	case isNew && listed:
		c.bootstrap = &bootstrap{servers: servers, identities: make(map[string]Member)}
		for _, s := range servers {
			if s.ID == c.id {
				c.recordIdentity(Member{ID: s.ID, Address: s.Address, Voter: true, Incarnation: c.incarnation})
			}
		}
	case c.log.lastIndex() == 1 && c.state.Term == bootstrapTerm:
		c.bootstrap = &bootstrap{}
	default:
		return
	}
	c.bootstrap.nextRequestAt = c.now
	c.bootstrap.confirmed = map[string]bool{c.id: true}
	c.endBootstrapIfConfirmed()
}

func (c *core) bootstrapping() bool {
	return c.bootstrap != nil
}

func (c *core) membershipRecorded() bool {
	return c.log.lastIndex() > 0
}

// recordIdentity records a member's incarnation. Once all are known, it stores the initial
// membership.
func (c *core) recordIdentity(m Member) {
	b := c.bootstrap
	b.identities[m.ID] = m
	if c.membershipRecorded() || len(b.identities) < len(b.servers) {
		return
	}
	var first Membership
	for _, m := range b.identities {
		first = first.with(m)
	}
	e := journal.Entry{Index: 1, Term: bootstrapTerm, Type: membershipEntry, Data: first.encode()}
	c.log.append(e)
	c.memberships = append(c.memberships, indexedMembership{index: 1, Membership: first})
	c.state.Term = bootstrapTerm
	c.stateChanged = true
	c.endBootstrapIfConfirmed()
}

func (c *core) endBootstrapIfConfirmed() {
	if !c.bootstrapping() || !c.membershipRecorded() {
		return
	}
	for _, m := range c.membership().Members {
		if !c.bootstrap.confirmed[m.ID] {
			return
		}
	}
	c.endBootstrap()
}

// endBootstrap ends the bootstrap. It is also called when a leader or candidate sends a message
// that names this incarnation, because nobody leads or campaigns before all initial voters have
// stored the same entry.
func (c *core) endBootstrap() {
	if c.bootstrapping() && c.membershipRecorded() {
		c.bootstrap = nil
		c.resetElectionDeadline()
	}
}

func (c *core) storedIdentities() []Member {
	if !c.membershipRecorded() || c.log.firstUnstored <= c.log.lastIndex() {
		return nil
	}
	return c.membership().Members
}

func (c *core) tickBootstrap() {
	b := c.bootstrap
	if c.now < b.nextRequestAt {
		return
	}
	b.nextRequestAt = c.now + c.timing.ElectionMin
	servers := b.servers
	if c.membershipRecorded() {
		servers = nil
		for _, m := range c.membership().Members {
			servers = append(servers, Server{ID: m.ID, Address: m.Address})
		}
	}
	for _, s := range servers {
		if s.ID != c.id {
			to := Member{ID: s.ID, Address: s.Address}
			c.send(to, &VoteRequest{Envelope: c.requestEnvelope(to), Pre: true, Bootstrap: true, Identities: c.storedIdentities()})
		}
	}
}

func (c *core) onBootstrapRequest(token uint64, request *VoteRequest) {
	if request.To != c.id {
		return
	}
	c.processIdentities(&request.Envelope, request.Identities)
	c.reply(token, &request.Envelope, &VoteReply{
		Envelope: c.replyEnvelope(&request.Envelope), Pre: true, Bootstrap: true, Identities: c.storedIdentities(),
	})
}

func (c *core) onBootstrapReply(reply *VoteReply) {
	c.processIdentities(&reply.Envelope, reply.Identities)
}

// processIdentities handles the identities that another node has stored. If its stored entry
// differs from this node's, a node lost its files during the bootstrap; the bootstrap then never
// completes, and the operator must start again with empty directories.
func (c *core) processIdentities(from *Envelope, identities []Member) {
	if !c.bootstrapping() {
		return
	}
	for _, m := range identities {
		if m.ID == c.id && m.Incarnation != c.incarnation {
			c.out.identityLost = true
			return
		}
	}
	if len(identities) > 0 && !slices.ContainsFunc(identities, func(m Member) bool { return m.ID == c.id }) {
		// A cluster without this node exists already, so there is nothing to bootstrap.
		c.out.removed = c.membershipRecorded()
		c.bootstrap = nil
		return
	}
	if !c.membershipRecorded() {
		i := slices.IndexFunc(c.bootstrap.servers, func(s Server) bool { return s.ID == from.From })
		if i < 0 {
			return
		}
		s := c.bootstrap.servers[i]
		c.recordIdentity(Member{ID: s.ID, Address: s.Address, Voter: true, Incarnation: from.FromIncarnation})
	}
	if c.membershipRecorded() && slices.Equal(identities, c.membership().Members) {
		c.bootstrap.confirmed[from.From] = true
		c.endBootstrapIfConfirmed()
	}
}
