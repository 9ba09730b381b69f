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

// maxReplyBytes bounds the rows of an answer.
const maxReplyBytes = 4 << 20

// notLeader says that another instance leads.
type notLeader struct {
	leader string
}

func (e *notLeader) Error() string {
	return "this control instance does not lead"
}

func (a *API) query(ctx context.Context, request control.QueryRequest) (control.QueryReply, error) {
	reply, err := a.config.Querier.Query(ctx, request)
	switch {
	case err != nil:
		return reply, fault.Wrap(err, "query", Unavailable, "the control quorum")
	case reply.NotLeader:
		return reply, &notLeader{leader: reply.Leader}
	case request.Configuration && reply.Configuration == nil:
		return reply, fault.New("query", Unavailable, "the control quorum gave no configuration")
	default:
		return reply, nil
	}
}

// unavailable answers that the request may be sent again, and names the leader if another instance is
// known to lead.
func (a *API) unavailable(w http.ResponseWriter, r *http.Request, err error) {
	var elsewhere *notLeader
	var hint *consensus.LeaderHint
	switch {
	case errors.As(err, &elsewhere):
		a.nameLeader(w, err, elsewhere.leader)
	case errors.As(err, &hint):
		a.nameLeader(w, err, hint.Address)
	default:
		a.fail(w, r, http.StatusServiceUnavailable, err)
	}
}

// nameLeader does not forward the request: the operator's client asks the leader itself, over TLS if it
// uses it.
func (a *API) nameLeader(w http.ResponseWriter, err error, leader string) {
	reply := language.ErrorReply{Error: err.Error()}
	if leader != "" {
		reply.Leader = a.config.LeaderAddress(leader)
	}
	respond(w, http.StatusServiceUnavailable, reply)
}
