package consensus

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCallsPerAddress bounds the concurrent calls to one address. Otherwise heartbeats to a member
// that does not reply would pile up.
const maxCallsPerAddress = 16

// sender sends the requests of a node to the other members.
type sender struct {
	node  *Node
	calls sync.WaitGroup
	// slotsByAddress limits the concurrent calls by address. It is used by the goroutine of Run
	// only.
	slotsByAddress map[string]chan struct{}
}

func newSender(n *Node) *sender {
	return &sender{node: n, slotsByAddress: make(map[string]chan struct{})}
}

func (s *sender) wait() {
	s.calls.Wait()
}

// send delivers replies to the waiting handlers and starts a call for each request. A request to an
// address with too many concurrent calls is dropped, as if the network had lost it.
func (n *Node) send(ctx context.Context, messages []message) {
	for _, m := range messages {
		if m.token != 0 {
			n.waitingReplies[m.token] <- m.body
			delete(n.waitingReplies, m.token)
			continue
		}
		n.sender.startCall(ctx, m)
	}
}

func (s *sender) startCall(ctx context.Context, m message) {
	slots := s.slotsByAddress[m.address]
	if slots == nil {
		slots = make(chan struct{}, maxCallsPerAddress)
		s.slotsByAddress[m.address] = slots
	}
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	s.calls.Go(func() {
		defer func() { <-slots }()
		s.call(ctx, m)
	})
}

// call makes one call and passes the reply or the failure to the core.
func (s *sender) call(ctx context.Context, m message) {
	ctx, cancel := context.WithTimeout(ctx, s.node.config.Timing.callTimeout())
	defer cancel()
	reply, sequence, err := s.callTransport(ctx, m)
	if err != nil {
		reply = &callFailure{peer: m.to, sequence: sequence}
	}
	n := s.node
	_ = n.runOnLoop(ctx, "receive reply", func() { n.core.step(n.config.Now(), message{body: reply}) })
}

// callTimeout returns the time after which the core resends a request.
func (t Timing) callTimeout() time.Duration {
	return t.ElectionMax
}

func (s *sender) callTransport(ctx context.Context, m message) (reply any, sequence uint64, err error) {
	t := s.node.config.Transport
	switch body := m.body.(type) {
	case *VoteRequest:
		sequence = body.Sequence
		if body.Pre {
			reply, err = t.PreVote(ctx, m.address, body)
		} else {
			reply, err = t.Vote(ctx, m.address, body)
		}
	case *AppendRequest:
		sequence = body.Sequence
		reply, err = t.Append(ctx, m.address, body)
	case *SnapshotRequest:
		sequence = body.Sequence
		body.Data, err = s.node.journal.ReadSnapshot(body.Meta.Index, body.Offset, snapshotChunkBytes)
		if err != nil {
			return nil, sequence, err
		}
		body.Checksum = xxhash.Sum64(body.Data)
		reply, err = t.InstallSnapshot(ctx, m.address, body)
	}
	return reply, sequence, err
}
