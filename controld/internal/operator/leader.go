package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

// forwardedHeader marks a request that another control instance sent on. It is not sent on again,
// so that two instances with old views of the leader do not pass it back and forth.
const forwardedHeader = "X-Forwarded-By-Control"

// maxReplyBytes bounds the rows of an answer, and what is copied from the leader.
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

// unavailable forwards the request if another instance leads, and else answers that the request
// may be sent again.
func (a *API) unavailable(w http.ResponseWriter, r *http.Request, request any, err error) {
	var elsewhere *notLeader
	if !errors.As(err, &elsewhere) {
		a.fail(w, r, http.StatusServiceUnavailable, err)
		return
	}
	address := ""
	if elsewhere.leader != "" {
		address = a.config.LeaderAddress(elsewhere.leader)
	}
	if address != "" && r.Header.Get(forwardedHeader) == "" {
		if a.forward(w, r, address, request) == nil {
			return
		}
	}
	respond(w, http.StatusServiceUnavailable, language.ErrorReply{Error: err.Error(), Leader: address})
}

// forward sends the request to the leader with the operator's own key, and copies the answer. After
// an error nothing has been written.
func (a *API) forward(w http.ResponseWriter, r *http.Request, address string, request any) error {
	const op = "forward to leader"
	body, err := json.Marshal(request)
	if err != nil {
		return fault.Wrap(err, op, Malformed, address)
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, op, Unavailable, address)
	}
	out.Header.Set("Authorization", r.Header.Get("Authorization"))
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set(forwardedHeader, "1")
	response, err := a.config.Client.Do(out)
	if err != nil {
		return fault.Wrap(err, op, Unavailable, address)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 2*maxReplyBytes))
	if err != nil {
		return fault.Wrap(err, op, Unavailable, address)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(answer) // the client left; nobody is there to tell
	return nil
}
