package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"
	"unique"
)

const (
	// shrinkDivisor bounds a slice to this part of what remains, so that slices shrink near the limit
	// and one entry cannot strand most of it.
	shrinkDivisor = 8
	// forgetAfter is how long a life of an entry is remembered, so that it cannot settle twice.
	forgetAfter = 24 * time.Hour
	// answerTime is how long the answer to a lease is kept for a resend. A resend after it leases again,
	// and the first slice counts as spent. Kept for a day, the answers to 380 entries with 6,500
	// workspaces each would be 2.5 million.
	answerTime = 10 * time.Minute
	// sweepInterval is the time between two searches of an entry's old answers.
	sweepInterval = time.Minute
)

// PeriodOf returns the calendar month (UTC) of a time in Unix milliseconds.
func PeriodOf(now int64) string {
	return time.UnixMilli(now).UTC().Format("2006-01")
}

// Sum adds up settled spends.
type Sum struct {
	Amount   int64 `cbor:"5,keyasint"`
	Requests int64 `cbor:"6,keyasint"`
	Tokens   int64 `cbor:"7,keyasint"`
}

func (s Sum) plus(other Sum) Sum {
	return Sum{Amount: s.Amount + other.Amount, Requests: s.Requests + other.Requests, Tokens: s.Tokens + other.Tokens}
}

// Account is the spending of one workspace in one period.
type Account struct {
	Workspace string `cbor:"1,keyasint"`
	Period    string `cbor:"2,keyasint"`
	// Leased is what entries hold by entry/incarnation. A lost entry's slice stays here for the
	// period: what it spent of it is not known, so all of it counts as spent.
	Leased map[string]int64 `cbor:"3,keyasint"`
	Spent  int64            `cbor:"4,keyasint"`
	// Detail is the spend by model and length class, joined by a slash; see Key.
	Detail map[string]Sum `cbor:"5,keyasint"`
	// Total is the spend of a month whose details are no longer kept.
	Total Sum `cbor:"6,keyasint"`

	// generation is that of the book when this value was made, 0 in a State. A State may share the maps of
	// an older one.
	generation uint64
}

// fold adds the details up. It replaces the maps, which a State may share. What entries still hold of a
// closed month is of no further use.
func (a *Account) fold() {
	for _, sum := range a.Detail {
		a.Total = a.Total.plus(sum)
	}
	a.Detail, a.Leased = nil, nil
}

// Outstanding returns the sum of the slices that entries hold.
func (a *Account) Outstanding() int64 {
	var sum int64
	for _, amount := range a.Leased {
		sum += amount
	}
	return sum
}

// Entry is what the ledger remembers of one life of an entry, to recognise resent requests.
type Entry struct {
	Name     string                 `cbor:"1,keyasint"`
	Leases   map[string]LeaseAnswer `cbor:"2,keyasint"`
	Settled  uint64                 `cbor:"3,keyasint"`
	LastSeen int64                  `cbor:"4,keyasint"`
	// Swept is when old answers were last dropped, in Unix milliseconds.
	Swept int64 `cbor:"5,keyasint"`

	generation uint64
}

// LeaseAnswer is the answer to the last lease request for a workspace.
type LeaseAnswer struct {
	Sequence uint64     `cbor:"1,keyasint"`
	Reply    LeaseReply `cbor:"2,keyasint"`
	// Time is in Unix milliseconds.
	Time int64 `cbor:"3,keyasint"`
}

// State is the whole ledger, as kept in snapshots.
type State struct {
	Accounts []Account `cbor:"1,keyasint"`
	Entries  []Entry   `cbor:"2,keyasint"`
}

type accountKey struct {
	workspace string
	period    string
}

// Book is the ledger. It is deterministic: time comes from the replicated log. It is not safe for
// concurrent use.
type Book struct {
	accounts map[accountKey]*Account
	entries  map[string]*Entry
	// period is the month of the last request; kept is what the book keeps in it.
	period string
	kept   Kept
	// generation counts the captured states. A value of an older generation is copied before it changes.
	generation uint64
}

// NewBook returns a ledger with the given state.
func NewBook(state State) *Book {
	b := &Book{accounts: make(map[accountKey]*Account), entries: make(map[string]*Entry), generation: 1}
	for _, a := range state.Accounts {
		a.Detail = interned(a.Detail)
		b.accounts[accountKey{a.Workspace, a.Period}] = &a
	}
	for _, e := range state.Entries {
		if e.Leases == nil {
			e.Leases = make(map[string]LeaseAnswer)
		}
		b.entries[e.Name] = &e
	}
	return b
}

// State captures the ledger. It shares the accounts and entries, which are copied when they next change,
// so that a snapshot of a large ledger does not hold up the log. Sort orders it.
func (b *Book) State() State {
	b.generation++
	state := State{Accounts: make([]Account, 0, len(b.accounts)), Entries: make([]Entry, 0, len(b.entries))}
	for _, a := range b.accounts {
		c := *a
		c.generation = 0
		state.Accounts = append(state.Accounts, c)
	}
	for _, e := range b.entries {
		c := *e
		c.generation = 0
		state.Entries = append(state.Entries, c)
	}
	return state
}

// Sort orders the accounts by workspace and period and the entries by name, so that equal ledgers have
// equal snapshots.
func (s *State) Sort() {
	sortAccounts(s.Accounts)
	slices.SortFunc(s.Entries, func(x, y Entry) int { return cmp.Compare(x.Name, y.Name) })
}

// interned returns the details with keys that are shared between the accounts.
func interned(detail map[string]Sum) map[string]Sum {
	if detail == nil {
		return nil
	}
	shared := make(map[string]Sum, len(detail))
	for key, sum := range detail {
		shared[unique.Make(key).Value()] = sum
	}
	return shared
}

// Accounts returns the accounts of the months, sorted by workspace and period. Their maps are those of
// the book and must not be changed.
func (b *Book) Accounts(months Months) []Account {
	var accounts []Account
	for key, a := range b.accounts {
		if months.has(key.period) {
			accounts = append(accounts, *a)
		}
	}
	sortAccounts(accounts)
	return accounts
}

func sortAccounts(accounts []Account) {
	slices.SortFunc(accounts, func(x, y Account) int {
		return cmp.Or(cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.Period, y.Period))
	})
}

// Lease grants a slice of what remains of the limit. A negative limit means none. A request that was
// answered before gets the same answer. now is in Unix milliseconds.
func (b *Book) Lease(request LeaseRequest, limit, now int64) LeaseReply {
	b.roll(now)
	e := b.entry(request.Entry, request.Incarnation, now)
	if last, ok := e.Leases[request.Workspace]; ok && request.Sequence <= last.Sequence {
		if request.Sequence == last.Sequence {
			return last.Reply
		}
		return LeaseReply{}
	}
	reply := b.lease(request, e.Name, limit, now)
	e.Leases[request.Workspace] = LeaseAnswer{Sequence: request.Sequence, Reply: reply, Time: now}
	e.sweep(now)
	return reply
}

// sweep drops answers that are no longer kept, at most once in sweepInterval.
func (e *Entry) sweep(now int64) {
	if now-e.Swept < sweepInterval.Milliseconds() {
		return
	}
	e.Swept = now
	limit := now - answerTime.Milliseconds()
	maps.DeleteFunc(e.Leases, func(_ string, answer LeaseAnswer) bool { return answer.Time < limit })
}

func (b *Book) lease(request LeaseRequest, entry string, limit, now int64) LeaseReply {
	period := PeriodOf(now)
	a := b.account(request.Workspace, period)
	want := max(request.Want, request.Need, 0)
	if limit < 0 {
		a.Leased[entry] += want
		return LeaseReply{Granted: want, Period: period, Remaining: -1}
	}
	remaining := max(0, limit-a.Spent-a.Outstanding())
	if request.Need > remaining || request.Need <= 0 {
		return LeaseReply{Period: period, Remaining: remaining}
	}
	granted := min(want, max(request.Need, remaining/shrinkDivisor))
	a.Leased[entry] += granted
	return LeaseReply{Granted: granted, Period: period, Remaining: remaining - granted}
}

// Settle books what an entry spent and returned. A repeated report changes nothing, and neither does
// spending in a month that is no longer kept. now is in Unix milliseconds.
func (b *Book) Settle(request SettleRequest, now int64) SettleReply {
	b.roll(now)
	e := b.entry(request.Entry, request.Incarnation, now)
	if request.Sequence <= e.Settled {
		return SettleReply{}
	}
	e.Settled = request.Sequence
	for _, s := range request.Spent {
		if s.Period < b.kept.Totals {
			continue
		}
		a := b.account(s.Workspace, s.Period)
		a.Spent += s.Amount
		b.reduce(a, e.Name, s.Amount)
		a.add(s, s.Period < b.kept.Details)
	}
	for _, r := range request.Returned {
		if r.Period < b.kept.Details {
			continue
		}
		b.reduce(b.account(r.Workspace, r.Period), e.Name, r.Amount)
	}
	return SettleReply{}
}

func (b *Book) reduce(a *Account, entry string, amount int64) {
	left := a.Leased[entry] - amount
	if left <= 0 {
		delete(a.Leased, entry)
		return
	}
	a.Leased[entry] = left
}

func (a *Account) add(s Spend, folded bool) {
	sum := Sum{Amount: s.Amount, Requests: s.Requests, Tokens: s.Tokens}
	if folded {
		a.Total = a.Total.plus(sum)
		a.fold()
		return
	}
	key := unique.Make(Key(s.Model, s.LengthClass)).Value()
	a.Detail[key] = a.Detail[key].plus(sum)
}

// account returns the account for a change, new if needed.
func (b *Book) account(workspace, period string) *Account {
	key := accountKey{workspace, period}
	a := b.accounts[key]
	switch {
	case a == nil:
		a = &Account{Workspace: workspace, Period: period, generation: b.generation}
	case a.generation != b.generation:
		c := *a
		c.Leased, c.Detail, c.generation = maps.Clone(a.Leased), maps.Clone(a.Detail), b.generation
		a = &c
	}
	b.accounts[key] = a
	if a.Leased == nil {
		a.Leased = make(map[string]int64)
	}
	if a.Detail == nil {
		a.Detail = make(map[string]Sum)
	}
	return a
}

// entry returns the record of a life of an entry for a change, new if needed.
func (b *Book) entry(instance, incarnation string, now int64) *Entry {
	name := instance + "/" + incarnation
	e := b.entries[name]
	switch {
	case e == nil:
		b.forget(now)
		e = &Entry{Name: name, Leases: make(map[string]LeaseAnswer), generation: b.generation}
	case e.generation != b.generation:
		c := *e
		c.Leases, c.generation = maps.Clone(e.Leases), b.generation
		e = &c
	}
	b.entries[name] = e
	e.LastSeen = now
	return e
}

func (b *Book) forget(now int64) {
	limit := now - forgetAfter.Milliseconds()
	maps.DeleteFunc(b.entries, func(_ string, e *Entry) bool { return e.LastSeen < limit })
}

// roll folds and drops the accounts of older months at the first request of a month. The state after
// any request is the same on a book that was restored in between.
func (b *Book) roll(now int64) {
	period := PeriodOf(now)
	if period == b.period {
		return
	}
	b.period, b.kept = period, KeptAt(now)
	for key, a := range b.accounts {
		switch {
		case key.period < b.kept.Totals:
			delete(b.accounts, key)
		case key.period < b.kept.Details:
			a.fold()
		}
	}
}
