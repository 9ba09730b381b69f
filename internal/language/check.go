package language

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// check finds errors that the grammar does not: unknown words and values of the wrong type.
func check(t Text) error {
	if t.Query != nil {
		return checkQuery(*t.Query)
	}
	if t.Transaction == nil {
		return nil
	}
	for _, command := range t.Transaction.Commands {
		if err := checkCommand(*command); err != nil {
			return err
		}
	}
	return nil
}

func checkWord(w Word, what string, known []string) error {
	if slices.Contains(known, w.Text) {
		return nil
	}
	if near, ok := nearest(w.Text, known); ok {
		return syntaxError(w.Pos, "unknown %s %q; did you mean %q?", what, w.Text, near)
	}
	return syntaxError(w.Pos, "unknown %s %q; known: %s", what, w.Text, strings.Join(known, ", "))
}

func checkQuery(q Query) error {
	if err := checkWord(q.Subject, "subject", subjectNames()); err != nil {
		return err
	}
	subject := Subjects[q.Subject.Text]
	seen := make(map[string]bool)
	for _, clause := range q.Clauses {
		if seen[clause.name()] {
			return syntaxError(clause.Pos, "%s is given twice", clause.name())
		}
		seen[clause.name()] = true
		if err := checkClause(q, *clause, subject); err != nil {
			return err
		}
	}
	return nil
}

func checkClause(q Query, c Clause, subject Subject) error {
	switch {
	case c.Where != nil:
		for _, condition := range c.Where {
			if err := checkCondition(*condition, subject); err != nil {
				return err
			}
		}
	case c.By != nil:
		for _, field := range c.By {
			if err := checkWord(*field, "field", subject.fields()); err != nil {
				return err
			}
		}
	case c.Order != nil:
		return checkWord(c.Order.Field, "field", resultFields(q, subject))
	case c.Limit != nil:
		if n, err := strconv.Atoi(c.Limit.Text()); err != nil || n < 1 {
			return syntaxError(c.Limit.Pos, "the limit %s is not a whole number of at least 1", c.Limit.Token)
		}
	case c.Since != nil:
		return checkBound(q, "since", *c.Since, subject)
	default:
		if err := checkBound(q, "until", *c.Until, subject); err != nil {
			return err
		}
		return checkRange(q, *c.Until)
	}
	return nil
}

func checkBound(q Query, clause string, bound Value, subject Subject) error {
	if subject.TimeColumn == "" {
		return syntaxError(bound.Pos, "%s does not apply to %s", clause, q.Subject.Text)
	}
	if _, err := parseSince(bound.Text(), time.Time{}); err != nil {
		return syntaxError(bound.Pos, "%v", err)
	}
	return nil
}

// checkRange rejects a range that ends before it starts. A range with one duration and one date is not
// checked, because which comes first depends on the time of the query; if it is empty, the result has no
// rows.
func checkRange(q Query, until Value) error {
	since := q.mergedClauses().Since
	if since == nil {
		return nil
	}
	_, sinceErr := parseDuration(since.Text())
	_, untilErr := parseDuration(until.Text())
	start, err := parseSince(since.Text(), time.Time{})
	if err != nil || (sinceErr == nil) != (untilErr == nil) {
		return nil
	}
	end, err := parseUntil(until.Text(), time.Time{})
	if err == nil && end.Before(start) {
		return syntaxError(until.Pos, "the range ends at %s, before its start at %s", until.Token, since.Token)
	}
	return nil
}

// resultFields returns the fields that the result rows have, after grouping if there is a by clause.
func resultFields(q Query, subject Subject) []string {
	if q.mergedClauses().By == nil {
		return subject.fields()
	}
	var names []string
	for _, column := range groupedColumns(q.mergedClauses().By, subject) {
		names = append(names, column.Name)
	}
	return names
}

func checkCondition(c Condition, subject Subject) error {
	if err := checkWord(c.Field, "field", subject.fields()); err != nil {
		return err
	}
	column := subject.Columns[subject.columnIndex(c.Field.Text)]
	if !slices.Contains(operatorsOf(column.Type), c.Operator) {
		return syntaxError(c.Field.Pos, "%s is a %s; it can be compared by %s",
			column.Name, column.Type, strings.Join(operatorsOf(column.Type), " "))
	}
	if err := checkQuotes(c.Value); err != nil {
		return err
	}
	if _, err := parseOperand(column.Type, c.Value.Text()); err != nil {
		return syntaxError(c.Value.Pos, "%v", err)
	}
	return nil
}

func operatorsOf(t Type) []string {
	switch t {
	case TypeText:
		return operators
	case TypeList:
		return []string{"=", "!=", "~"}
	case TypeBool:
		return []string{"=", "!="}
	default:
		return []string{"=", "!=", "<", "<=", ">", ">="}
	}
}

func checkQuotes(v Value) error {
	if !v.Quoted() {
		return nil
	}
	if _, err := strconv.Unquote(v.Token); err != nil {
		return syntaxError(v.Pos, "%s has an unknown escape; the escapes are those of Go", v.Token)
	}
	return nil
}

func checkObjectName(v Value) error {
	if err := checkQuotes(v); err != nil {
		return err
	}
	if v.Text() == "" {
		return syntaxError(v.Pos, "the name is empty")
	}
	return nil
}

func checkCommand(c Command) error {
	switch {
	case c.Set != nil:
		return checkSet(*c.Set)
	case c.Unset != nil:
		if err := checkWord(c.Unset.Kind, "kind of object", kindNames); err != nil {
			return err
		}
		return checkObjectName(c.Unset.Name)
	case c.Add != nil:
		if !c.Add.Hash.is(newKey) && !fullHash.MatchString(c.Add.Hash.Text()) {
			return syntaxError(c.Add.Hash.Pos, "%s is neither new nor the SHA-256 sum of a key (64 hexadecimal digits)", c.Add.Hash.Token)
		}
		return checkObjectName(c.Add.Workspace)
	case c.Remove != nil:
		if !partialHash.MatchString(c.Remove.Hash.Text()) {
			return syntaxError(c.Remove.Hash.Pos, "%s is not the SHA-256 sum of a key or its first 8 or more digits", c.Remove.Hash.Token)
		}
		return checkObjectName(c.Remove.Workspace)
	default:
		if err := checkWord(c.Drain.Kind, "kind of object", drainableKinds); err != nil {
			return err
		}
		return checkObjectName(c.Drain.Name)
	}
}

var (
	fullHash    = regexp.MustCompile(`^[0-9a-f]{64}$`)
	partialHash = regexp.MustCompile(`^[0-9a-f]{8,64}$`)
)

func checkSet(s Set) error {
	if err := checkWord(s.Kind, "kind of object", kindNames); err != nil {
		return err
	}
	if err := checkObjectName(s.Name); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for _, field := range s.Fields {
		if err := checkWord(field.Name, "field of a "+s.Kind.Text, objectFields[s.Kind.Text]); err != nil {
			return err
		}
		if seen[field.Name.Text] {
			return syntaxError(field.Name.Pos, "%s is given twice", field.Name.Text)
		}
		seen[field.Name.Text] = true
		if err := checkField(*field); err != nil {
			return err
		}
	}
	return nil
}

func checkField(f Field) error {
	for _, value := range f.Values {
		if err := checkQuotes(*value); err != nil {
			return err
		}
		if len(f.Values) > 1 && value.is(none) {
			return syntaxError(value.Pos, "none stands alone")
		}
	}
	if !listFields[f.Name.Text] && len(f.Values) > 1 {
		return syntaxError(f.Values[1].Pos, "%s takes one value", f.Name.Text)
	}
	var scratch object
	if err := scratch.setField(f); err != nil {
		return syntaxError(f.Values[0].Pos, "%v", err)
	}
	return nil
}
