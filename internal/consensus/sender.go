package consensus

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCalls bounds the calls under way to one address. Heartbeats to a member that does not answer
// would pile up otherwise.
const maxCalls = 16

// sender makes the calls of a node.
type sender struct {
	node  *Node
	calls sync.WaitGroup
	// under counts the calls under way by address; it belongs to the goroutine of Run.
	under map[string]chan struct{}
}

func newSender(n *Node) *sender {
	return &sender{node: n, under: make(map[string]chan struct{})}
}

func (s *sender) wait() {
	s.calls.Wait()
}

// send delivers replies to the waiting handlers and starts a call for each request. A request that
// finds too many calls under way is dropped, as the network could have done.
func (n *Node) send(ctx context.Context, messages []message) {
	for _, m := range messages {
		if m.token != 0 {
			n.replies[m.token] <- m.body
			delete(n.replies, m.token)
			continue
		}
		n.sender.start(ctx, m)
	}
}

func (s *sender) start(ctx context.Context, m message) {
	slots := s.under[m.address]
	if slots == nil {
		slots = make(chan struct{}, maxCalls)
		s.under[m.address] = slots
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

// call makes one call and hands the reply, or the failure, to the core.
func (s *sender) call(ctx context.Context, m message) {
	ctx, cancel := context.WithTimeout(ctx, s.node.config.Timing.callTimeout())
	defer cancel()
	reply, sequence, err := s.exchange(ctx, m)
	if err != nil {
		reply = &failure{peer: m.to, sequence: sequence}
	}
	n := s.node
	_ = n.do(ctx, "receive reply", func() { n.core.step(n.config.Now(), message{body: reply}) })
}

// callTimeout is the time after which the core sends again.
func (t Timing) callTimeout() time.Duration {
	return t.ElectionMax
}

func (s *sender) exchange(ctx context.Context, m message) (reply any, sequence uint64, err error) {
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
