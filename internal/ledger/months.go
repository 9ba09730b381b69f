package ledger

import (
	"strings"
	"time"
)

// The numbers of months kept before the current one. With 6,500 workspaces, 24 models and 3 length classes,
// BenchmarkMonths measures 37 MB of heap for a month of details and 1.2 MB for a month of totals.
const (
	detailMonths = 1
	totalMonths  = 13
)

// AllModels replaces the model and the length class of a Spend for a month whose details are not kept.
const AllModels = "(all)"

// EarliestMonth precedes every month that is kept. As Months.From it selects all of them.
const EarliestMonth = "0000-01"

// Retention has the first months for which the ledger keeps spending, as 2006-01.
type Retention struct {
	// Details is the first month with spending by model and length class.
	Details string `json:"details"`
	// Totals is the first month with spending by workspace.
	Totals string `json:"totals"`
}

// RetentionAt returns the months that are kept at a time in Unix milliseconds.
func RetentionAt(now int64) Retention {
	return Retention{Details: monthsBefore(now, detailMonths), Totals: monthsBefore(now, totalMonths)}
}

// monthsBefore returns the nth month before the given time. It counts from the first day of the month,
// because AddDate from the 31st can skip a shorter month.
func monthsBefore(now int64, n int) string {
	t := time.UnixMilli(now).UTC()
	return time.Date(t.Year(), t.Month()-time.Month(n), 1, 0, 0, 0, 0, time.UTC).Format("2006-01")
}

// Months is a range of months as 2006-01, both ends included. An empty From or To leaves that end open.
type Months struct {
	From string `json:"from"`
	To   string `json:"to"`
}

func (m Months) contains(period string) bool {
	return period >= m.From && (m.To == "" || period <= m.To)
}

// DetailKey returns the key in Account.Detail for a model and a length class.
func DetailKey(model, lengthClass string) string {
	return model + "/" + lengthClass
}

// Spends returns the account's spending by model and length class, in any order, or as one sum under
// AllModels where the details are no longer kept.
func (a *Account) Spends() []Spend {
	if len(a.Detail) == 0 && a.Total == (Sum{}) {
		return nil
	}
	spends := make([]Spend, 0, len(a.Detail)+1)
	for key, sum := range a.Detail {
		slash := strings.LastIndexByte(key, '/') // a length class has no slash
		spends = append(spends, a.spend(key[:slash], key[slash+1:], sum))
	}
	if a.Total != (Sum{}) {
		spends = append(spends, a.spend(AllModels, AllModels, a.Total))
	}
	return spends
}

func (a *Account) spend(model, lengthClass string, sum Sum) Spend {
	return Spend{
		Workspace: a.Workspace, Period: a.Period, Model: model, LengthClass: lengthClass,
		Amount: sum.Amount, Requests: sum.Requests, Tokens: sum.Tokens,
	}
}
