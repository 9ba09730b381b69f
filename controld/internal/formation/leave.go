package formation

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// LeaveRequest asks to be removed before a planned stop.
type LeaveRequest struct {
	ID string
}

// LeaveReply is the reply to a LeaveRequest.
type LeaveReply struct {
	// Left means that the instance is no longer a member.
	Left bool
	// Stays means that the instance remains a member, because no other instance can take its place.
	Stays bool
	// Leader is the peer address of the leader, which the instance should ask instead, if known.
	Leader string
}

func (r LeaveReply) final() bool    { return r.Left || r.Stays }
func (r LeaveReply) leader() string { return r.Leader }

// Leave removes an instance that is about to stop, provided that the quorum bears as many losses without it.
func (s *JoinService) Leave(request LeaveRequest, reply *LeaveReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), membershipChangeTimeout)
	defer cancel()
	err := s.quorum.Release(ctx, request.ID)
	switch {
	case err == nil:
		reply.Left = true
	case fault.Is(err, consensus.NoSuccessor):
		reply.Stays = true
	case fault.Is(err, consensus.NotLeader):
		_, reply.Leader, _ = s.quorum.Leader()
		return nil
	}
	s.logger.Info("Answered an instance that leaves", zap.String("id", request.ID), zap.Bool("left", reply.Left), zap.Error(err))
	return nil
}

const (
	leaveRetryInterval = 50 * time.Millisecond
	// leaveTimeout bounds the delay of a planned stop while nobody leads.
	leaveTimeout = 2 * time.Second
)

// Leave gives up the membership of an instance that is about to stop, so that the quorum does not count on it if
// it never returns. An instance whose place nobody can take remains a member.
func Leave(ctx context.Context, config JoinConfig) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		addresses := config.Peers()
		if _, leader, _ := config.Quorum.Leader(); leader != "" {
			addresses = []string{leader}
		}
		for _, address := range addresses {
			reply, err := ask[LeaveReply](ctx, config.Caller, address, "Leave", LeaveRequest{ID: config.ID})
			if err != nil {
				config.Logger.Debug("Could not ask to leave", zap.String("address", address), zap.Error(err))
			}
			if reply.final() {
				config.Logger.Info("Asked to leave the quorum", zap.String("id", config.ID), zap.Bool("left", reply.Left))
				return
			}
		}
		task.Pause(ctx, leaveRetryInterval)
	}
	config.Logger.Warn("Could not leave the quorum before the stop", zap.String("id", config.ID))
}
