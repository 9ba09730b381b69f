package formation

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// JoinRequest asks to be added as a learner, or whether the instance is still a member.
type JoinRequest struct {
	ID      string
	Address string
	// HasLog means that the instance holds a log from an earlier membership under this id.
	HasLog bool
}

// JoinReply is the reply to a JoinRequest.
type JoinReply struct {
	// Member means that the instance is a member now.
	Member bool
	// Removed means that the instance was removed and must join again with an empty disk and a new id.
	Removed bool
	// Leader is the peer address of the leader, which the instance should ask instead, if known.
	Leader string
}

// ServiceName is the net/rpc name under which a peer server registers JoinService.
const ServiceName = "Membership"

// Quorum reads and changes the membership of the quorum; *consensus.Node implements it.
type Quorum interface {
	Join(ctx context.Context, server consensus.Server, hasLog bool) error
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

// Join adds an instance as a learner, unless it is a member or has been one.
func (s *JoinService) Join(request JoinRequest, reply *JoinReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), membershipChangeTimeout)
	defer cancel()
	err := s.quorum.Join(ctx, consensus.Server{ID: request.ID, Address: request.Address}, request.HasLog)
	switch {
	case err == nil:
		reply.Member = true
	case fault.Is(err, consensus.Removed):
		reply.Removed = true
	case fault.Is(err, consensus.NotLeader):
		_, reply.Leader, _ = s.quorum.Leader()
		return nil
	}
	s.logger.Info("Answered an instance that joins", zap.String("id", request.ID), zap.String("address", request.Address), zap.Error(err))
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
	// leaderTimeout is the time since the last request of a leader after which an instance asks whether it is still
	// a member.
	leaderTimeout = time.Second
)

// Join keeps the instance a member until ctx is done. It asks to be added whenever the instance is not a member, and
// whether it still is one whenever it does not hear from a leader: nobody tells a removed instance that was away. The
// kind of an error is Removed if the instance must join again with an empty disk and a new id.
func Join(ctx context.Context, config JoinConfig) error {
	for ctx.Err() == nil {
		status := config.Quorum.Status()
		if status.LeaderID != "" && status.SinceLeader < leaderTimeout && isMember(status, config.ID) {
			task.Pause(ctx, membershipCheckInterval)
			continue
		}
		for _, address := range config.Peers() {
			reply := requestJoin(ctx, config, address, status)
			if reply.Removed {
				return fault.New("join the quorum", Removed, "the members have removed %q", config.ID)
			}
			if reply.Member {
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

// requestJoin asks an instance, or the leader that it names, to add this instance.
func requestJoin(ctx context.Context, config JoinConfig, address string, status consensus.Status) JoinReply {
	request := JoinRequest{ID: config.ID, Address: config.Address, HasLog: status.LastIndex > 0}
	reply, err := ask[JoinReply](ctx, config.Caller, address, "Join", request)
	if err != nil {
		config.Logger.Debug("Could not ask to join", zap.String("address", address), zap.Error(err))
	}
	if reply.Member && !isMember(status, config.ID) {
		config.Logger.Info("Joined the quorum as a learner", zap.String("id", config.ID), zap.String("asked", address))
	}
	return reply
}

// reply is the reply of a JoinService.
type reply interface {
	// final reports whether the instance has decided on the request.
	final() bool
	// leader returns the peer address of the leader, if known.
	leader() string
}

func (r JoinReply) final() bool    { return r.Member || r.Removed }
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
	return fault.Is(err, Removed) || fault.Is(err, consensus.Removed) || fault.Is(err, consensus.IdentityLost) || fault.Is(err, consensus.Corrupt)
}
