package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

// Quorum changes the members of the control quorum; *consensus.Node implements it.
type Quorum interface {
	AddLearner(ctx context.Context, server consensus.Server) error
	Remove(ctx context.Context, id string) error
}

// handleAddMember adds a control instance as a learner. The quorum promotes it to a voter when it has
// caught up and a voter is lost.
func (a *API) handleAddMember(w http.ResponseWriter, r *http.Request) {
	var request language.MemberRequest
	if err := decode(w, r, &request); err != nil {
		a.fail(w, r, http.StatusBadRequest, err)
		return
	}
	if request.ID == "" || request.Address == "" {
		a.fail(w, r, http.StatusBadRequest, fault.New("add member", Malformed, "a member needs id and address"))
		return
	}
	a.changeQuorum(w, r, func(ctx context.Context) error {
		return a.config.Quorum.AddLearner(ctx, consensus.Server{ID: request.ID, Address: request.Address})
	})
}

func (a *API) handleRemoveMember(w http.ResponseWriter, r *http.Request) {
	a.changeQuorum(w, r, func(ctx context.Context) error {
		return a.config.Quorum.Remove(ctx, mux.Vars(r)["id"])
	})
}

// changeQuorum applies a membership change. An instance that is not the leader responds with status 503
// and the address of the leader if it is known, so that pierctl tries the leader or the next instance.
func (a *API) changeQuorum(w http.ResponseWriter, r *http.Request, change func(context.Context) error) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	err := change(ctx)
	var e *consensus.Error
	switch {
	case err == nil:
		a.config.Logger.Info("Changed the quorum", zap.String("operator", operatorName(r)), zap.String("method", r.Method), zap.String("path", r.URL.Path))
		respond(w, http.StatusOK, language.CommandReply{Status: string(control.Accepted)})
	case errors.As(err, &e) && (e.Kind == consensus.Refused || e.Kind == consensus.Invalid):
		respond(w, http.StatusUnprocessableEntity, language.CommandReply{Status: string(control.Rejected), Message: err.Error()})
	default:
		a.failUnavailable(w, r, err)
	}
}
