package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

// maxReplyBytes bounds the encoded rows of a reply.
const maxReplyBytes = 4 << 20

// notLeaderError means that this instance is not the leader. It holds the peer address of the leader, or
// an empty string if that is not known.
type notLeaderError struct {
	leader string
}

func (e *notLeaderError) Error() string {
	return "this control instance does not lead"
}

func (a *API) query(ctx context.Context, request control.QueryRequest) (control.QueryReply, error) {
	reply, err := a.config.Querier.Query(ctx, request)
	switch {
	case err != nil:
		return reply, fault.Wrap(err, "query", Unavailable, "the control quorum")
	case reply.NotLeader:
		return reply, &notLeaderError{leader: reply.Leader}
	case request.Configuration && reply.Configuration == nil:
		return reply, fault.New("query", Unavailable, "the control quorum gave no configuration")
	default:
		return reply, nil
	}
}

// failUnavailable responds with status 503, after which the client may retry, and includes the address of
// the leader if another instance is known to lead.
func (a *API) failUnavailable(w http.ResponseWriter, r *http.Request, err error) {
	var otherLeader *notLeaderError
	var hint *consensus.LeaderHint
	switch {
	case errors.As(err, &otherLeader):
		a.respondWithLeader(w, err, otherLeader.leader)
	case errors.As(err, &hint):
		a.respondWithLeader(w, err, hint.Address)
	default:
		a.fail(w, r, http.StatusServiceUnavailable, err)
	}
}

// respondWithLeader tells the client the address of the leader instead of forwarding the request. The
// client then calls the leader itself, over TLS if that is configured.
func (a *API) respondWithLeader(w http.ResponseWriter, err error, leader string) {
	reply := language.ErrorReply{Error: err.Error()}
	if leader != "" {
		reply.Leader = a.config.LeaderAddress(leader)
	}
	respond(w, http.StatusServiceUnavailable, reply)
}
