package operator

import (
	"slices"
	"strings"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

// buildRows builds the rows of a subject with the columns in the order of language.Subjects.
func buildRows(subject string, state control.QueryReply, fleet fleetView, now time.Time) ([][]any, error) {
	switch subject {
	case "running":
		return runningRows(fleet), nil
	case "waiting":
		return waitingRows(fleet), nil
	case "endpoints":
		return endpointRows(state, fleet), nil
	case "versions":
		return versionRows(state, fleet), nil
	case "costing":
		return costingRows(state), nil
	case "workspaces":
		return workspaceRows(state, now), nil
	case "models":
		return modelRows(state), nil
	case "services":
		return serviceRows(state), nil
	case "instances":
		return instanceRows(state), nil
	case "data-centres":
		return dataCentreRows(state), nil
	case "history":
		return historyRows(state), nil
	case "quorum":
		return quorumRows(state), nil
	case "revision":
		return [][]any{{int64(state.Revision), int64(state.Term), leaderID(state)}}, nil
	default:
		return nil, fault.New("build rows", Malformed, "subject %q has no rows", subject)
	}
}

func runningRows(fleet fleetView) (rows [][]any) {
	for _, cell := range fleet.cells {
		for _, e := range cell.reply.Endpoints {
			load := e.Announcement.Load
			if e.Grants+load.Running+load.Queued == 0 {
				continue
			}
			model := cell.cell[:strings.LastIndexByte(cell.cell, '/')] // region names contain no slash
			rows = append(rows, []any{
				cell.cell, e.Announcement.Name, e.Announcement.DataCentre, model, e.Announcement.Version,
				int64(e.Grants), int64(e.GrantedTokens), int64(load.Running), int64(load.Queued),
				int64(load.Used), int64(e.Announcement.Memory),
			})
		}
	}
	return rows
}

func waitingRows(fleet fleetView) (rows [][]any) {
	for _, cell := range fleet.cells {
		for _, w := range cell.reply.Waiting {
			rows = append(rows, []any{
				cell.cell, w.RequestID, w.Workspace, int64(w.Tokens), language.Seconds(w.Waited), language.Seconds(w.Estimate),
			})
		}
	}
	return rows
}

// uniqueEndpoints returns each endpoint once; one that serves several models appears in several cells.
func uniqueEndpoints(fleet fleetView) []dispatch.EndpointView {
	var views []dispatch.EndpointView
	known := make(map[string]bool)
	for _, cell := range fleet.cells {
		for _, e := range cell.reply.Endpoints {
			if !known[e.Announcement.Name] {
				known[e.Announcement.Name] = true
				views = append(views, e)
			}
		}
	}
	return views
}

func endpointRows(state control.QueryReply, fleet fleetView) (rows [][]any) {
	for _, e := range uniqueEndpoints(fleet) {
		a := e.Announcement
		rows = append(rows, []any{
			a.Name, string(a.Type), a.DataCentre, a.Region, a.Models, a.Version, a.Adapters, a.Role, string(a.State),
			state.Configuration.Endpoints[a.Name].Drain, e.Open, language.Seconds(e.Age), int64(a.Load.Used), int64(a.Memory),
		})
	}
	return rows
}

// versionRows counts the endpoints of each model by observed version. A declared model without
// endpoints has one row with an empty version.
func versionRows(state control.QueryReply, fleet fleetView) (rows [][]any) {
	type key struct{ model, version string }
	ready, all := make(map[key]int64), make(map[key]int64)
	for _, e := range uniqueEndpoints(fleet) {
		for _, model := range e.Announcement.Models {
			if _, declared := state.Configuration.Models[model]; !declared {
				continue
			}
			k := key{model, e.Announcement.Version}
			all[k]++
			if e.Announcement.State == endpoint.Ready {
				ready[k]++
			}
		}
	}
	observed := make(map[string]bool)
	for k, count := range all {
		observed[k.model] = true
		rows = append(rows, []any{k.model, state.Configuration.Models[k.model].Version, k.version, ready[k], count})
	}
	for name, model := range state.Configuration.Models {
		if !observed[name] {
			rows = append(rows, []any{name, model.Version, "", int64(0), int64(0)})
		}
	}
	return rows
}

func costingRows(state control.QueryReply) (rows [][]any) {
	for _, account := range state.Accounts {
		for _, s := range account.Detail {
			rows = append(rows, []any{
				s.Workspace, s.Model, s.LengthClass, s.Period, s.Requests, s.Tokens, language.MicroCents(s.Amount),
			})
		}
	}
	return rows
}

// workspaceRows includes the spending of the calendar month that contains now.
func workspaceRows(state control.QueryReply, now time.Time) (rows [][]any) {
	accounts := make(map[string]control.Account, len(state.Accounts))
	for _, account := range state.Accounts {
		if account.Period == now.UTC().Format("2006-01") {
			accounts[account.Workspace] = account
		}
	}
	for name, w := range state.Configuration.Workspaces {
		account := accounts[name]
		rows = append(rows, []any{
			name, w.Models, w.Services, int64(w.Priority), int64(w.Weight), language.FormatSpendLimit(w.SpendLimit),
			language.MicroCents(account.Spent), language.MicroCents(account.Leased), w.RequestRate, int64(w.MaxInFlight),
			language.ShortHashes(w.KeyHashes),
		})
	}
	return rows
}

func modelRows(state control.QueryReply) (rows [][]any) {
	for name, m := range state.Configuration.Models {
		rows = append(rows, []any{
			name, m.Version, m.Adapters, int64(m.Replicas), language.MicroCents(m.PromptPrice),
			language.MicroCents(m.CachedPrice), language.MicroCents(m.OutputPrice), int64(m.MaxContext),
		})
	}
	return rows
}

func serviceRows(state control.QueryReply) (rows [][]any) {
	for name, s := range state.Configuration.Services {
		rows = append(rows, []any{name, s.UnrepeatableMethods})
	}
	return rows
}

func instanceRows(state control.QueryReply) (rows [][]any) {
	for _, m := range state.Members {
		rows = append(rows, []any{
			m.Instance, m.DataCentre, m.Region, m.Caller, m.Platform, m.Peer, m.Draining,
			state.Configuration.Instances[m.Instance].Drain,
		})
	}
	return rows
}

// dataCentreRows lists the data centres that have entries with a session or settings by operators.
func dataCentreRows(state control.QueryReply) (rows [][]any) {
	instances := make(map[string]int64)
	for _, m := range state.Members {
		instances[m.DataCentre]++
	}
	for name := range state.Configuration.DataCentres {
		instances[name] += 0
	}
	for name, count := range instances {
		rows = append(rows, []any{name, state.Configuration.DataCentres[name].Drain, count})
	}
	return rows
}

// historyRows lists the newest revision first, with the lines of each revision in their original order.
func historyRows(state control.QueryReply) (rows [][]any) {
	for _, revision := range slices.Backward(state.History) {
		for _, change := range revision.Changes {
			for _, line := range language.Describe(change) {
				rows = append(rows, []any{
					int64(revision.Number), revision.Author, time.UnixMilli(revision.Time).UTC(), line,
				})
			}
		}
	}
	return rows
}

func quorumRows(state control.QueryReply) (rows [][]any) {
	for _, v := range state.Voters {
		rows = append(rows, []any{
			v.ID, v.Address, v.Voter, v.Leader, int64(v.Match), v.Reached, language.Seconds(time.Duration(v.LastSeen) * time.Millisecond),
		})
	}
	return rows
}

func leaderID(state control.QueryReply) string {
	for _, v := range state.Voters {
		if v.Leader {
			return v.ID
		}
	}
	return state.Leader
}
