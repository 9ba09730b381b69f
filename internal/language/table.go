package language

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Seconds is a duration that is written in seconds.
type Seconds time.Duration

// String returns the seconds with up to three decimals.
func (s Seconds) String() string {
	// Duration.Seconds adds the whole seconds and the fraction, and the sum is not always the float nearest
	// to the decimal number.
	ms := time.Duration(s).Round(time.Millisecond).Milliseconds()
	return strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64)
}

// MarshalJSON writes the seconds as a number.
func (s Seconds) MarshalJSON() ([]byte, error) {
	return []byte(s.String()), nil
}

// Table is the result of a query. Each value has the Go type that belongs to its column's type.
type Table struct {
	Columns []Column `json:"columns"`
	Rows    [][]any  `json:"rows"`
	// Total is the number of rows before the limit.
	Total int `json:"total"`
}

// EvaluateConfig sets the current time and the row limits of an evaluation.
type EvaluateConfig struct {
	Now time.Time
	// DefaultLimit is the limit of a query without one; MaxLimit is the largest.
	DefaultLimit int
	MaxLimit     int
}

// Evaluate filters, groups, sorts and limits the rows of the query's subject. The query must come from
// Parse. Without an order clause, rows are sorted by their columns from left to right, unless the
// subject is ordered.
func Evaluate(q Query, rows [][]any, config EvaluateConfig) (Table, error) {
	subject := Subjects[q.Subject.Text]
	clauses := q.mergedClauses()
	rows, err := selectRows(clauses, subject, rows, config.Now)
	if err != nil {
		return Table{}, err
	}
	columns := subject.Columns
	if clauses.By != nil {
		columns = groupedColumns(clauses.By, subject)
		rows = groupRows(columns, subject, rows)
	}
	sortRows(clauses.Order, columns, rows, subject.Ordered && clauses.By == nil)
	table := Table{Columns: columns, Rows: rows, Total: len(rows)}
	limit := config.DefaultLimit
	if clauses.Limit != nil {
		limit, _ = strconv.Atoi(clauses.Limit.Text()) // Parse has checked it
	}
	table.Rows = rows[:min(len(rows), limit, config.MaxLimit)]
	return table, nil
}

func selectRows(c Clause, subject Subject, rows [][]any, now time.Time) ([][]any, error) {
	conditions := make([]func([]any) bool, 0, len(c.Where)+1)
	for _, condition := range c.Where {
		i := subject.columnIndex(condition.Field.Text)
		operand, err := parseOperand(subject.Columns[i].Type, condition.Value.Text())
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, func(row []any) bool { return matches(row[i], condition.Operator, operand) })
	}
	if c.Since != nil {
		since, err := parseSince(c.Since.Text(), now)
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, boundCondition(subject, ">=", since))
	}
	if c.Until != nil {
		until, err := parseUntil(c.Until.Text(), now)
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, boundCondition(subject, "<=", until))
	}
	var selected [][]any
	for _, row := range rows {
		if !slices.ContainsFunc(conditions, func(holds func([]any) bool) bool { return !holds(row) }) {
			selected = append(selected, row)
		}
	}
	return selected, nil
}

// boundCondition returns a condition on the subject's time column. A text column holds calendar months,
// so bound is compared as a month.
func boundCondition(subject Subject, operator string, bound time.Time) func([]any) bool {
	i := subject.columnIndex(subject.TimeColumn)
	if subject.Columns[i].Type == TypeTime {
		return func(row []any) bool { return matches(row[i], operator, bound) }
	}
	return func(row []any) bool { return matches(row[i], operator, monthOf(bound)) }
}

func parseSince(text string, now time.Time) (time.Time, error) {
	if d, err := parseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	t, err := parseTime(text)
	if err != nil {
		return t, fmt.Errorf("%q is neither a duration such as 36h or 3d nor a date such as 2026-11-30", text)
	}
	return t, nil
}

// parseUntil returns the end of the given month, day or minute. Other texts are parsed as by parseSince.
func parseUntil(text string, now time.Time) (time.Time, error) {
	for layout, length := range periodLengths {
		if start, err := time.Parse(layout, text); err == nil {
			return start.AddDate(0, length.months, length.days).Add(length.duration - time.Nanosecond), nil
		}
	}
	return parseSince(text, now)
}

// periodLengths gives the length of the period that a date stands for, by the layout of the date.
var periodLengths = map[string]struct {
	months, days int
	duration     time.Duration
}{
	monthLayout:   {months: 1},
	time.DateOnly: {days: 1},
	minuteLayout:  {duration: time.Minute},
}

const (
	monthLayout  = "2006-01"
	minuteLayout = "2006-01-02T15:04"
)

func monthOf(t time.Time) string {
	return t.UTC().Format(monthLayout)
}

// Months returns the first and the last calendar month, as 2006-01, that a query of a subject with months
// needs: those of its since and until clauses, that of a condition on the month, or else the current one.
// An empty string means that the range is open at that end.
func (q Query) Months(now time.Time) (from, to string, err error) {
	all := q.mergedClauses()
	if all.Since != nil {
		since, err := parseSince(all.Since.Text(), now)
		if err != nil {
			return "", "", err
		}
		from = monthOf(since)
	}
	if all.Until != nil {
		until, err := parseUntil(all.Until.Text(), now)
		if err != nil {
			return "", "", err
		}
		to = monthOf(until)
	}
	if all.Since != nil || all.Until != nil {
		return from, to, nil
	}
	return q.monthsOfCondition(now)
}

func (q Query) monthsOfCondition(now time.Time) (from, to string, err error) {
	field := Subjects[q.Subject.Text].TimeColumn
	if month, ok := q.RequiredValue(field); ok {
		return month, month, nil
	}
	for _, condition := range q.mergedClauses().Where {
		if condition.Field.Text == field {
			return "", "", nil
		}
	}
	return monthOf(now), monthOf(now), nil
}

// RequiredValue returns the value that a condition of the query requires a field to equal, if there is one.
func (q Query) RequiredValue(field string) (value string, ok bool) {
	for _, condition := range q.mergedClauses().Where {
		if condition.Field.Text == field && condition.Operator == "=" {
			return condition.Value.Text(), true
		}
	}
	return "", false
}

func parseTime(text string) (time.Time, error) {
	for _, layout := range []string{time.RFC3339, minuteLayout, time.DateOnly, monthLayout} {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("%q is not a date such as 2026-11-30 or 2026-11-30T08:00:00Z", text)
}

func parseDuration(text string) (time.Duration, error) {
	if days, ok := strings.CutSuffix(text, "d"); ok {
		n, err := strconv.ParseUint(days, 10, 16)
		return time.Duration(n) * 24 * time.Hour, err
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration such as 1.5s or 3d", text)
	}
	return d, nil
}

func parseOperand(t Type, text string) (any, error) {
	switch t {
	case TypeInteger:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not a whole number", text)
		}
		return n, nil
	case TypeDecimal:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not a number", text)
		}
		return n, nil
	case TypeCents:
		return ParseCents(text)
	case TypeDuration:
		d, err := parseDuration(text)
		return Seconds(d), err
	case TypeTime:
		return parseTime(text)
	case TypeBool:
		if text != "true" && text != "false" {
			return nil, fmt.Errorf("%q is neither true nor false", text)
		}
		return text == "true", nil
	default:
		return text, nil
	}
}

func matches(value any, operator string, operand any) bool {
	if list, ok := value.([]string); ok {
		return matchesList(list, operator, operand.(string))
	}
	if operator == "~" {
		return strings.Contains(value.(string), operand.(string))
	}
	order := compare(value, operand)
	switch operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

// matchesList compares a list with one element: = and != test for membership, ~ for an element that
// contains the text.
func matchesList(list []string, operator, operand string) bool {
	switch operator {
	case "=":
		return slices.Contains(list, operand)
	case "!=":
		return !slices.Contains(list, operand)
	default:
		return slices.ContainsFunc(list, func(s string) bool { return strings.Contains(s, operand) })
	}
}

func compare(a, b any) int {
	switch x := a.(type) {
	case string:
		return cmp.Compare(x, b.(string))
	case []string:
		return slices.Compare(x, b.([]string))
	case int64:
		return cmp.Compare(x, b.(int64))
	case float64:
		return cmp.Compare(x, b.(float64))
	case MicroCents:
		return cmp.Compare(x, b.(MicroCents))
	case Seconds:
		return cmp.Compare(x, b.(Seconds))
	case time.Time:
		return x.Compare(b.(time.Time))
	case bool:
		return cmp.Compare(boolOrder(x), boolOrder(b.(bool)))
	default:
		return 0
	}
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// groupedColumns returns the columns after grouping: those grouped by, the number of rows, and the sums.
func groupedColumns(by []*Word, subject Subject) []Column {
	var columns []Column
	included := make(map[string]bool)
	for _, field := range by {
		if i := subject.columnIndex(field.Text); i >= 0 && !included[field.Text] {
			included[field.Text] = true
			column := subject.Columns[i]
			column.Sum = false
			columns = append(columns, column)
		}
	}
	columns = append(columns, Column{Name: "count", Type: TypeInteger, Sum: true})
	for _, column := range subject.Columns {
		if column.Sum && !included[column.Name] {
			columns = append(columns, column)
		}
	}
	return columns
}

func groupRows(columns []Column, subject Subject, rows [][]any) [][]any {
	groups := make(map[string][]any)
	var order []string
	for _, row := range rows {
		values := make([]any, len(columns))
		key := ""
		for i, column := range columns {
			values[i] = int64(1) // for the column count
			if j := subject.columnIndex(column.Name); j >= 0 {
				values[i] = row[j]
			}
			if !column.Sum {
				key += fmt.Sprintf("%v\x00", values[i])
			}
		}
		sums, ok := groups[key]
		if !ok {
			groups[key] = values
			order = append(order, key)
			continue
		}
		addSums(columns, sums, values)
	}
	grouped := make([][]any, 0, len(order))
	for _, key := range order {
		grouped = append(grouped, groups[key])
	}
	return grouped
}

// addSums adds the values of a row to the sums of its group.
func addSums(columns []Column, sums, values []any) {
	for i, column := range columns {
		if !column.Sum {
			continue
		}
		switch x := sums[i].(type) {
		case int64:
			sums[i] = x + values[i].(int64)
		case MicroCents:
			sums[i] = x + values[i].(MicroCents)
		}
	}
}

// sortRows sorts by the column of the order clause and then, unless the rows are ordered already, by all
// columns from left to right.
func sortRows(by *Order, columns []Column, rows [][]any, ordered bool) {
	sortColumn, sign := -1, 1
	if by != nil {
		sortColumn = slices.IndexFunc(columns, func(c Column) bool { return c.Name == by.Field.Text })
		if by.Descending {
			sign = -1
		}
	}
	slices.SortStableFunc(rows, func(a, b []any) int {
		if sortColumn >= 0 {
			if order := sign * compare(a[sortColumn], b[sortColumn]); order != 0 {
				return order
			}
		}
		if ordered {
			return 0
		}
		for i := range columns {
			if order := compare(a[i], b[i]); order != 0 {
				return order
			}
		}
		return 0
	})
}
