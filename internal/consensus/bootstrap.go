package consensus

import (
	"slices"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// bootstrapTerm is the term of the first entry, which holds the first membership.
const bootstrapTerm = 1

// bootstrap is the state before the first election. Each first voter collects the incarnations of all
// first voters, stores them as entry 1, and votes only once all of them report the same stored
// entry. From then on every voter knows every incarnation, so a voter that loses its files cannot
// vote again under its id.
type bootstrap struct {
	servers []Server
	// found holds the members' incarnations until they are stored.
	found map[string]Member
	// confirmed holds the members that stored the same entry.
	confirmed map[string]bool
	due       time.Duration
}

func (c *core) startBootstrap(servers []Server) {
	blank := c.log.last() == 0 && c.state.Term == 0
	listed := slices.ContainsFunc(servers, func(s Server) bool { return s.ID == c.id })
	switch {
	case blank && listed:
		c.bootstrap = &bootstrap{servers: servers, found: make(map[string]Member)}
		for _, s := range servers {
			if s.ID == c.id {
				c.found(Member{ID: s.ID, Address: s.Address, Voter: true, Incarnation: c.incarnation})
			}
		}
	case c.log.last() == 1 && c.state.Term == bootstrapTerm:
		c.bootstrap = &bootstrap{}
	default:
		return
	}
	c.bootstrap.due = c.now
	c.bootstrap.confirmed = map[string]bool{c.id: true}
	c.checkBootstrap()
}

func (c *core) bootstrapping() bool {
	return c.bootstrap != nil
}

func (c *core) recorded() bool {
	return c.log.last() > 0
}

// found notes an incarnation and stores the membership once all are known.
func (c *core) found(m Member) {
	b := c.bootstrap
	b.found[m.ID] = m
	if c.recorded() || len(b.found) < len(b.servers) {
		return
	}
	var first Membership
	for _, m := range b.found {
		first = first.with(m)
	}
	e := journal.Entry{Index: 1, Term: bootstrapTerm, Type: membershipEntry, Data: first.encode()}
	c.log.append(e)
	c.memberships = append(c.memberships, membershipAt{index: 1, Membership: first})
	c.state.Term = bootstrapTerm
	c.stateChanged = true
	c.checkBootstrap()
}

func (c *core) checkBootstrap() {
	if !c.bootstrapping() || !c.recorded() {
		return
	}
	for _, m := range c.membership().Members {
		if !c.bootstrap.confirmed[m.ID] {
			return
		}
	}
	c.confirmBootstrap()
}

// confirmBootstrap ends the bootstrap. It is also called for a message from a leader or candidate
// that names this incarnation, because nobody leads or asks for votes before all first voters have
// stored the same entry.
func (c *core) confirmBootstrap() {
	if c.bootstrapping() && c.recorded() {
		c.bootstrap = nil
		c.resetElection()
	}
}

func (c *core) identities() []Member {
	if !c.recorded() || c.log.unstored <= c.log.last() {
		return nil
	}
	return c.membership().Members
}

func (c *core) tickBootstrap() {
	b := c.bootstrap
	if c.now < b.due {
		return
	}
	b.due = c.now + c.timing.ElectionMin
	servers := b.servers
	if c.recorded() {
		servers = nil
		for _, m := range c.membership().Members {
			servers = append(servers, Server{ID: m.ID, Address: m.Address})
		}
	}
	for _, s := range servers {
		if s.ID != c.id {
			to := Member{ID: s.ID, Address: s.Address}
			c.send(to, &VoteRequest{Envelope: c.envelope(to), Pre: true, Bootstrap: true, Identities: c.identities()})
		}
	}
}

func (c *core) onBootstrapRequest(token uint64, request *VoteRequest) {
	if request.To != c.id {
		return
	}
	c.noteBootstrap(&request.Envelope, request.Identities)
	c.reply(token, &request.Envelope, &VoteReply{
		Envelope: c.replyEnvelope(&request.Envelope), Pre: true, Bootstrap: true, Identities: c.identities(),
	})
}

func (c *core) onBootstrapReply(reply *VoteReply) {
	c.noteBootstrap(&reply.Envelope, reply.Identities)
}

// noteBootstrap processes what another node knows. A stored entry that disagrees with this node's
// means that a node lost its files during the bootstrap; it then never completes, and the operator
// starts again with empty directories.
func (c *core) noteBootstrap(from *Envelope, identities []Member) {
	if !c.bootstrapping() {
		return
	}
	for _, m := range identities {
		if m.ID == c.id && m.Incarnation != c.incarnation {
			c.out.lostIdentity = true
			return
		}
	}
	if len(identities) > 0 && !slices.ContainsFunc(identities, func(m Member) bool { return m.ID == c.id }) {
		// A cluster without this node exists, so there is nothing to bootstrap.
		c.out.removed = c.recorded()
		c.bootstrap = nil
		return
	}
	if !c.recorded() {
		i := slices.IndexFunc(c.bootstrap.servers, func(s Server) bool { return s.ID == from.From })
		if i < 0 {
			return
		}
		s := c.bootstrap.servers[i]
		c.found(Member{ID: s.ID, Address: s.Address, Voter: true, Incarnation: from.FromIncarnation})
	}
	if c.recorded() && slices.Equal(identities, c.membership().Members) {
		c.bootstrap.confirmed[from.From] = true
		c.checkBootstrap()
	}
}
