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

// JoinReply is the reply to a JoinRequest.
type JoinReply struct {
	// Member means that the instance is a member now.
	Member bool
	// Leader is the peer address of the leader, which the instance should ask instead, if known.
	Leader string
}

// ServiceName is the net/rpc name under which a peer server registers JoinService.
const ServiceName = "Membership"

// Quorum reads and changes the membership of the quorum; *consensus.Node implements it.
type Quorum interface {
	AddLearner(ctx context.Context, server consensus.Server) error
	Remove(ctx context.Context, id string) error
	Release(ctx context.Context, id string) error
	Status() consensus.Status
	Leader() (id, address string, term uint64)
}

// JoinService is the net/rpc service by which instances ask to join and to leave the quorum.
type JoinService struct {
	quorum Quorum
	logger *zap.Logger
}

// NewJoinService returns the service of a node.
func NewJoinService(quorum Quorum, logger *zap.Logger) *JoinService {
	return &JoinService{quorum: quorum, logger: logger}
}

// membershipChangeTimeout bounds the membership changes of one request.
const membershipChangeTimeout = time.Second

// Join adds a learner. It first removes an earlier learner with the same address, which cannot return
// because its disk is empty. An earlier voter with that address stays: the quorum replaces it once the
// learner has caught up.
func (s *JoinService) Join(request JoinRequest, reply *JoinReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), membershipChangeTimeout)
	defer cancel()
	status := s.quorum.Status()
	if status.Role != consensus.Leader {
		_, reply.Leader, _ = s.quorum.Leader()
		return nil
	}
	for _, m := range status.Members {
		switch {
		case m.ID == request.ID:
			reply.Member = true
			return nil
		case m.Address == request.Address && !m.Voter:
			if err := s.quorum.Remove(ctx, m.ID); err != nil {
				s.logger.Info("Could not remove the learner that a joining instance replaces", zap.String("learner", m.ID), zap.Error(err))
				return nil
			}
		}
	}
	err := s.quorum.AddLearner(ctx, consensus.Server{ID: request.ID, Address: request.Address})
	s.logger.Info("Answered an instance that joins", zap.String("id", request.ID), zap.String("address", request.Address), zap.Error(err))
	reply.Member = err == nil
	return nil
}

// Caller makes net/rpc calls; *peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// JoinConfig configures Join.
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
	joinRetryInterval = 200 * time.Millisecond
	callTimeout       = 700 * time.Millisecond
	// membershipCheckInterval is the time between two checks that the instance is still a member.
	membershipCheckInterval = 2 * time.Second
)

// Join asks to be added until the instance is a member, and again whenever it is no longer one, until ctx
// is done.
func Join(ctx context.Context, config JoinConfig) error {
	for ctx.Err() == nil {
		if isMember(config.Quorum.Status(), config.ID) {
			task.Pause(ctx, membershipCheckInterval)
			continue
		}
		for _, address := range config.Peers() {
			if requestJoin(ctx, config, address) {
				break
			}
		}
		task.Pause(ctx, joinRetryInterval)
	}
	return nil
}

func isMember(quorumStatus consensus.Status, id string) bool {
	for _, m := range quorumStatus.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// requestJoin asks an instance, or the leader that it names, to add this instance. It reports whether this
// instance is a member now.
func requestJoin(ctx context.Context, config JoinConfig, address string) bool {
	reply, err := ask[JoinReply](ctx, config.Caller, address, "Join", JoinRequest{ID: config.ID, Address: config.Address})
	if err != nil {
		config.Logger.Debug("Could not ask to join", zap.String("address", address), zap.Error(err))
		return false
	}
	if reply.Member {
		config.Logger.Info("Joined the quorum as a learner", zap.String("id", config.ID), zap.String("asked", address))
	}
	return reply.Member
}

// reply is the reply of a JoinService.
type reply interface {
	// final reports whether the instance has decided on the request.
	final() bool
	// leader returns the peer address of the leader, if known.
	leader() string
}

func (r JoinReply) final() bool    { return r.Member }
func (r JoinReply) leader() string { return r.Leader }

// ask calls a method of JoinService at one instance, and then at the leader that it names.
func ask[R reply](ctx context.Context, caller Caller, address, method string, request any) (R, error) {
	answer, err := call[R](ctx, caller, address, method, request)
	if err != nil || answer.final() || answer.leader() == "" || answer.leader() == address {
		return answer, err
	}
	return call[R](ctx, caller, answer.leader(), method, request)
}

func call[R reply](ctx context.Context, caller Caller, address, method string, request any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer R
	err := caller.Call(ctx, address, ServiceName+"."+method, request, &answer)
	return answer, err
}

// NeedsNewIdentity reports whether a node that stopped with err must restart with an empty disk and a new id.
func NeedsNewIdentity(err error) bool {
	return fault.Is(err, consensus.Removed) || fault.Is(err, consensus.IdentityLost) || fault.Is(err, consensus.Corrupt)
}
