package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/dandelionpier/dandelionpier/internal/burn"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/language"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

func (a *API) handleBurnReport(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	state, err := a.query(ctx, control.QueryRequest{Members: true})
	if err != nil {
		a.failUnavailable(w, r, err)
		return
	}
	query := r.URL.Query()
	request := burn.ReportRequest{Workspace: query.Get("workspace"), Total: query.Get("total") == "true"}
	respond(w, http.StatusOK, a.collectBurnReports(ctx, request, state.Members))
}

// collectBurnReports merges the reports of the entries and lists those that do not reply within
// fleetTimeout.
func (a *API) collectBurnReports(ctx context.Context, request burn.ReportRequest, members []session.Member) language.BurnReply {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	var (
		mu      sync.Mutex
		calls   sync.WaitGroup
		result  language.BurnReply
		permits = make(chan struct{}, maxFleetCalls)
	)
	for _, member := range members {
		calls.Go(func() {
			permits <- struct{}{}
			defer func() { <-permits }()
			var reply burn.ReportReply
			err := a.config.Peers.Call(ctx, member.Peer, burn.ReportMethod, request, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.Missing = append(result.Missing, language.MissingPart{Part: "instance " + member.Instance, Error: err.Error()})
				return
			}
			result.Report = burn.Merge(result.Report, reply.Report)
			if reply.LeftOut > 0 {
				result.Missing = append(result.Missing, language.MissingPart{
					Part: "instance " + member.Instance, Error: fmt.Sprintf("%d series beyond the bound of %d", reply.LeftOut, burn.MaxSeries),
				})
			}
		})
	}
	calls.Wait()
	slices.SortFunc(result.Missing, func(x, y language.MissingPart) int { return compareText(x.Part, y.Part) })
	return result
}
