package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
)

const (
	defaultRowLimit = 200
	// maxRowLimit is enough for all 6,500 workspaces of the two-year target.
	maxRowLimit = 10_000
	// maxRevisions bounds the revisions read for a query.
	maxRevisions = 1000
)

func compareText(x, y string) int { return cmp.Compare(x, y) }

func (a *API) handleQuery(w http.ResponseWriter, r *http.Request) {
	var request language.QueryRequest
	if err := decode(w, r, &request); err != nil {
		a.fail(w, r, http.StatusBadRequest, err)
		return
	}
	query, err := parseQuery(request)
	if err != nil {
		a.fail(w, r, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, err := a.evaluateQuery(ctx, query)
	if err != nil {
		a.failUnavailable(w, r, err)
		return
	}
	respond(w, http.StatusOK, reply)
}

func parseQuery(request language.QueryRequest) (language.Query, error) {
	parsed, err := language.Parse(request.Text)
	if err != nil {
		return language.Query{}, err
	}
	if parsed.Query == nil {
		return language.Query{}, fault.New("read query", Malformed, "the text has no query; commands go to /v1/commands")
	}
	return *parsed.Query, nil
}

// evaluateQuery reads the state that the query's subject needs and evaluates the query on it.
func (a *API) evaluateQuery(ctx context.Context, query language.Query) (language.QueryReply, error) {
	name := query.Subject.Text
	subject := language.Subjects[name]
	now := a.config.Now()
	months, err := monthsOf(query, now)
	if err != nil {
		return language.QueryReply{}, fault.Wrap(err, "read query", Malformed, query.String())
	}
	workspace, _ := query.RequiredValue("workspace")
	state, err := a.query(ctx, control.QueryRequest{
		Configuration: true,
		Members:       subject.FromEntries || name == "instances" || name == "data-centres",
		Spending:      name == "costing" || name == "workspaces",
		Quorum:        name == "quorum" || name == "revision",
		History:       historyLimit(name),
		Months:        months,
		Workspace:     workspace,
		TotalsOnly:    name == "workspaces",
	})
	if err != nil {
		return language.QueryReply{}, err
	}
	var fleet fleetView
	if subject.FromEntries {
		fleet = queryDispatchers(ctx, a.config.Peers, *state.Configuration, state.Members, fullRequest)
	}
	rows, err := buildRows(name, state, fleet, now)
	if err != nil {
		return language.QueryReply{}, err
	}
	table, err := language.Evaluate(query, rows, language.EvaluateConfig{Now: now, DefaultLimit: defaultRowLimit, MaxLimit: maxRowLimit})
	if err != nil {
		return language.QueryReply{}, fault.Wrap(err, "evaluate", Malformed, query.String())
	}
	reply := language.QueryReply{Columns: table.Columns, Total: table.Total, Revision: state.Revision, Missing: fleet.missing}
	if name == "history" && len(state.History) == maxRevisions {
		reply.Missing = append(reply.Missing, language.MissingPart{Part: "older revisions", Error: "only the newest 1,000 revisions are read"})
	}
	if name == "costing" {
		reply.Kept = fmt.Sprintf("spending by model and length class since %s, by workspace since %s", state.Kept.Details, state.Kept.Totals)
		if months.From > ledger.EarliestMonth && months.From < state.Kept.Totals {
			reply.Missing = append(reply.Missing, language.MissingPart{Part: "months before " + state.Kept.Totals, Error: "they are no longer kept"})
		}
	}
	reply.Rows, err = encodeRows(table.Rows)
	return reply, err
}

// monthsOf returns the months whose spending the query needs; the zero value means the current month.
func monthsOf(query language.Query, now time.Time) (ledger.Months, error) {
	if query.Subject.Text != "costing" {
		return ledger.Months{}, nil
	}
	from, to, err := query.Months(now)
	if from == "" && to == "" {
		from = ledger.EarliestMonth
	}
	return ledger.Months{From: from, To: to}, err
}

func historyLimit(subject string) int {
	if subject == "history" {
		return maxRevisions
	}
	return 0
}

// encodeRows encodes as many rows as fit into maxReplyBytes. The client detects missing rows by the Total
// of the reply.
func encodeRows(rows [][]any) ([]json.RawMessage, error) {
	encoded := make([]json.RawMessage, 0, len(rows))
	size := 0
	for _, row := range rows {
		data, err := json.Marshal(row)
		if err != nil {
			return nil, fault.Wrap(err, "encode rows", Unavailable, "a row")
		}
		size += len(data) + 1
		if size > maxReplyBytes {
			break
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}
