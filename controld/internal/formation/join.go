package formation

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// JoinRequest asks to be added as a learner.
type JoinRequest struct {
	ID      string
	Address string
}

// JoinReply answers a JoinRequest.
type JoinReply struct {
	// Member says that the instance is a member now.
	Member bool
	// Leader is the peer address to ask instead, if known.
	Leader string
}

// ServiceName is the name of Admitter on a peer server.
const ServiceName = "Membership"

// Quorum is the consensus node.
type Quorum interface {
	AddLearner(ctx context.Context, server consensus.Server) error
	Remove(ctx context.Context, id string) error
	Status() consensus.Status
	Leader() (id, address string, term uint64)
}

// Admitter answers instances that ask to join, over net/rpc.
type Admitter struct {
	quorum Quorum
	logger *zap.Logger
}

// NewAdmitter returns the service of a node.
func NewAdmitter(quorum Quorum, logger *zap.Logger) *Admitter {
	return &Admitter{quorum: quorum, logger: logger}
}

// changeTimeout bounds one change of the membership.
const changeTimeout = time.Second

// Join adds a learner. A learner that had the same address before is gone for good, because its disk is
// empty; a voter is replaced by the quorum once the learner has caught up.
func (a *Admitter) Join(request JoinRequest, reply *JoinReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	status := a.quorum.Status()
	if status.Role != consensus.Leader {
		_, reply.Leader, _ = a.quorum.Leader()
		return nil
	}
	for _, m := range status.Members {
		switch {
		case m.ID == request.ID:
			reply.Member = true
			return nil
		case m.Address == request.Address && !m.Voter:
			if err := a.quorum.Remove(ctx, m.ID); err != nil {
				a.logger.Info("Could not remove the learner that a joining instance replaces", zap.String("learner", m.ID), zap.Error(err))
				return nil
			}
		}
	}
	err := a.quorum.AddLearner(ctx, consensus.Server{ID: request.ID, Address: request.Address})
	a.logger.Info("Answered an instance that joins", zap.String("id", request.ID), zap.String("address", request.Address), zap.Error(err))
	reply.Member = err == nil
	return nil
}

// Caller makes net/rpc calls, as peer.Pool does.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// JoinConfig sets up a Joiner.
type JoinConfig struct {
	ID      string
	Address string
	// Peers returns the addresses to ask.
	Peers  func() []string
	Quorum Quorum
	Caller Caller
	Logger *zap.Logger
}

const (
	joinPause   = 200 * time.Millisecond
	joinTimeout = 700 * time.Millisecond
	// watchMembership is the time between two looks at the own membership after the instance has joined.
	watchMembership = 2 * time.Second
)

// Join asks to be added until the instance is a member, and again if a leader loses it, until ctx ends.
func Join(ctx context.Context, config JoinConfig) error {
	for ctx.Err() == nil {
		if member(config.Quorum.Status(), config.ID) {
			task.Pause(ctx, watchMembership)
			continue
		}
		for _, address := range config.Peers() {
			if ask(ctx, config, address) {
				break
			}
		}
		task.Pause(ctx, joinPause)
	}
	return nil
}

func member(s consensus.Status, id string) bool {
	for _, m := range s.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// ask asks one instance and the leader that it names.
func ask(ctx context.Context, config JoinConfig, address string) bool {
	for range 2 {
		reply, err := joinAt(ctx, config, address)
		switch {
		case err != nil:
			config.Logger.Debug("Could not ask to join", zap.String("address", address), zap.Error(err))
			return false
		case reply.Member:
			config.Logger.Info("Joined the quorum as a learner", zap.String("id", config.ID), zap.String("leader", address))
			return true
		case reply.Leader == "" || reply.Leader == address:
			return false
		}
		address = reply.Leader
	}
	return false
}

func joinAt(ctx context.Context, config JoinConfig, address string) (JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var reply JoinReply
	err := config.Caller.Call(ctx, address, ServiceName+".Join", JoinRequest{ID: config.ID, Address: config.Address}, &reply)
	return reply, err
}

// Fresh reports whether a node that ended with err must return with an empty disk and a new id.
func Fresh(err error) bool {
	return fault.Is(err, consensus.Removed) || fault.Is(err, consensus.IdentityLost) || fault.Is(err, consensus.Corrupt)
}
