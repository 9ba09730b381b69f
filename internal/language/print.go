package language

import "strings"

// String returns the text in canonical form: one command per line, single spaces, no comments. Parsing
// it gives the same syntax tree.
func (t Text) String() string {
	switch {
	case t.Query != nil:
		return t.Query.String() + "\n"
	case t.Transaction != nil:
		return t.Transaction.String()
	default:
		return ""
	}
}

// String returns the query on one line.
func (q Query) String() string {
	parts := []string{"show", q.Subject.Text}
	for _, clause := range q.Clauses {
		parts = append(parts, clause.String())
	}
	return strings.Join(parts, " ")
}

// String returns the clause with its words separated by single spaces.
func (c Clause) String() string {
	switch {
	case c.Where != nil:
		conditions := make([]string, len(c.Where))
		for i, condition := range c.Where {
			conditions[i] = strings.Join([]string{condition.Field.Text, condition.Operator, condition.Value.Token}, " ")
		}
		return "where " + strings.Join(conditions, " and ")
	case c.By != nil:
		names := make([]string, len(c.By))
		for i, field := range c.By {
			names[i] = field.Text
		}
		return "by " + strings.Join(names, ", ")
	case c.Order != nil && c.Order.Descending:
		return "order by " + c.Order.Field.Text + " desc"
	case c.Order != nil:
		return "order by " + c.Order.Field.Text
	case c.Limit != nil:
		return "limit " + c.Limit.Token
	case c.Since != nil:
		return "since " + c.Since.Token
	default:
		return "until " + c.Until.Token
	}
}

// String returns the transaction with one command per line.
func (t Transaction) String() string {
	var b strings.Builder
	if t.Check {
		b.WriteString("check\n")
	}
	for _, command := range t.Commands {
		b.WriteString(command.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// String returns the command on one line.
func (c Command) String() string {
	switch {
	case c.Set != nil:
		return c.Set.String()
	case c.Unset != nil:
		return strings.Join([]string{"unset", c.Unset.Kind.Text, c.Unset.Name.Token}, " ")
	case c.Add != nil:
		return strings.Join([]string{"add key", c.Add.Hash.Token, "to workspace", c.Add.Workspace.Token}, " ")
	case c.Remove != nil:
		return strings.Join([]string{"remove key", c.Remove.Hash.Token, "from workspace", c.Remove.Workspace.Token}, " ")
	case c.Drain != nil:
		return strings.Join([]string{c.Drain.Verb, c.Drain.Kind.Text, c.Drain.Name.Token}, " ")
	default:
		return ""
	}
}

// String returns the command on one line.
func (s Set) String() string {
	parts := []string{"set", s.Kind.Text, s.Name.Token}
	for _, field := range s.Fields {
		tokens := make([]string, len(field.Values))
		for i, value := range field.Values {
			tokens[i] = value.Token
		}
		parts = append(parts, field.Name.Text, strings.Join(tokens, ", "))
	}
	return strings.Join(parts, " ")
}
