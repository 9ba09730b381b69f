package ledger

import (
	"strings"
	"time"
)

// The months kept besides the current one. With 6,500 workspaces, 24 models and 3 length classes a month
// of details takes 37 MB of heap, a month of totals 1.2 MB, as measured by BenchmarkMonths.
const (
	detailMonths = 1
	totalMonths  = 13
)

// AllModels stands for model and length class in the spend of a month whose details are not kept.
const AllModels = "(all)"

// Earliest is before each month that is kept; as the start of Months it asks for all of them.
const Earliest = "0000-01"

// Kept says from which months on the ledger keeps spending, as 2006-01.
type Kept struct {
	// Details is the first month with spending by model and length class.
	Details string `json:"details"`
	// Totals is the first month with spending by workspace.
	Totals string `json:"totals"`
}

// KeptAt returns what is kept at a time in Unix milliseconds.
func KeptAt(now int64) Kept {
	return Kept{Details: monthsBefore(now, detailMonths), Totals: monthsBefore(now, totalMonths)}
}

// monthsBefore counts from the first day of the month: AddDate from a 31st can skip a shorter month.
func monthsBefore(now int64, n int) string {
	t := time.UnixMilli(now).UTC()
	return time.Date(t.Year(), t.Month()-time.Month(n), 1, 0, 0, 0, 0, time.UTC).Format("2006-01")
}

// Months is a range of months as 2006-01, both ends included; an empty end is open.
type Months struct {
	From string `json:"from"`
	To   string `json:"to"`
}

func (m Months) has(period string) bool {
	return period >= m.From && (m.To == "" || period <= m.To)
}

// Key returns the key of a detail in an Account.
func Key(model, lengthClass string) string {
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
