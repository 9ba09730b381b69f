// Package language is the operators' query and command language: grammar, parser, printer, the
// evaluation of queries over tables, and the translation of commands into configuration changes.
// docs/language.md describes the language.
package language

import (
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Syntax means that the text is not in the language. The message starts with line:column.
	Syntax Kind = "syntax"
	// Unknown means that a command names an object that does not exist.
	Unknown Kind = "unknown"
	// Invalid means that a command or query is well formed and not allowed.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Text is one query or one transaction; an empty text has neither.
type Text struct {
	Query       *Query       `parser:"Newline* ( @@ Newline*"`
	Transaction *Transaction `parser:"| @@ )?"`
}

// Query asks for the rows of a subject. Each clause occurs at most once, in any order.
type Query struct {
	Subject Word      `parser:"'show':Word @@"`
	Clauses []*Clause `parser:"@@*"`
}

// Clause filters, groups, sorts or limits the rows of a query. Exactly one field besides Pos is set.
type Clause struct {
	Pos   lexer.Position
	Where []*Condition `parser:"  'where':Word @@ ( 'and':Word @@ )*"`
	By    []*Word      `parser:"| 'by':Word @@ ( Comma @@ )*"`
	Order *Order       `parser:"| 'order':Word 'by':Word @@"`
	Limit *Value       `parser:"| 'limit':Word @@"`
	Since *Value       `parser:"| 'since':Word @@"`
	Until *Value       `parser:"| 'until':Word @@"`
}

// mergedClauses returns a single clause that holds the fields of all clauses of the query.
func (q Query) mergedClauses() Clause {
	var merged Clause
	for _, c := range q.Clauses {
		switch {
		case c.Where != nil:
			merged.Where = c.Where
		case c.By != nil:
			merged.By = c.By
		case c.Order != nil:
			merged.Order = c.Order
		case c.Limit != nil:
			merged.Limit = c.Limit
		case c.Since != nil:
			merged.Since = c.Since
		case c.Until != nil:
			merged.Until = c.Until
		}
	}
	return merged
}

// name returns the keyword that the clause starts with.
func (c Clause) name() string {
	switch {
	case c.Where != nil:
		return "where"
	case c.By != nil:
		return "by"
	case c.Order != nil:
		return "order"
	case c.Limit != nil:
		return "limit"
	case c.Since != nil:
		return "since"
	default:
		return "until"
	}
}

// Condition compares a column with a value; rows that do not satisfy it are left out.
type Condition struct {
	Field    Word   `parser:"@@"`
	Operator string `parser:"@Operator"`
	Value    Value  `parser:"@@"`
}

// Order names the column that rows are sorted by.
type Order struct {
	Field      Word `parser:"@@"`
	Descending bool `parser:"@'desc':Word?"`
}

// Transaction is a list of commands that are accepted or rejected together.
type Transaction struct {
	// Check means a dry run: the reply lists the changes and nothing is applied.
	Check    bool       `parser:"( @'check':Word Newline+ )?"`
	Commands []*Command `parser:"@@ ( Newline+ @@? )*"`
}

// Command is one line of a transaction. Exactly one field besides Pos is set.
type Command struct {
	Pos    lexer.Position
	Set    *Set    `parser:"  @@"`
	Unset  *Unset  `parser:"| @@"`
	Add    *Add    `parser:"| @@"`
	Remove *Remove `parser:"| @@"`
	Drain  *Drain  `parser:"| @@"`
}

// Set creates an object or changes the named fields of an existing one.
type Set struct {
	Kind   Word     `parser:"'set':Word @@"`
	Name   Value    `parser:"@@"`
	Fields []*Field `parser:"@@*"`
}

// Field assigns one or more values to a field of an object.
type Field struct {
	Name   Word     `parser:"@@"`
	Values []*Value `parser:"@@ ( Comma @@ )*"`
}

// Unset deletes an object.
type Unset struct {
	Kind Word  `parser:"'unset':Word @@"`
	Name Value `parser:"@@"`
}

// Add adds a key to a workspace. Hash is the hexadecimal SHA-256 hash of the key, or the word new for a
// key that the client generates.
type Add struct {
	Hash      Value `parser:"'add':Word 'key':Word @@"`
	Workspace Value `parser:"'to':Word 'workspace':Word @@"`
}

// Remove removes a key from a workspace. Hash is the hash of the key or a unique prefix of it.
type Remove struct {
	Hash      Value `parser:"'remove':Word 'key':Word @@"`
	Workspace Value `parser:"'from':Word 'workspace':Word @@"`
}

// Drain starts or ends draining an endpoint or instance.
type Drain struct {
	Verb string `parser:"@( 'drain':Word | 'undrain':Word )"`
	Kind Word   `parser:"@@"`
	Name Value  `parser:"@@"`
}

// Word is a word of the language, such as a field name.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// Value is a name or value as it was written: unquoted, or quoted like a Go string.
type Value struct {
	Pos   lexer.Position
	Token string `parser:"@( Word | String )"`
}

// NewValue returns text as a value, quoted if it is a reserved value or not a single word.
func NewValue(text string) Value {
	if isBare(text) {
		return Value{Token: text}
	}
	return Value{Token: strconv.Quote(text)}
}

// Text returns the value without quotes and with its escapes resolved.
func (v Value) Text() string {
	if !v.Quoted() {
		return v.Token
	}
	text, err := strconv.Unquote(v.Token)
	if err != nil {
		return v.Token
	}
	return text
}

// Quoted reports whether the value is written in quotes. Reserved values such as none are not.
func (v Value) Quoted() bool {
	return strings.HasPrefix(v.Token, `"`)
}

// is reports whether the value is the given reserved word, unquoted.
func (v Value) is(word string) bool {
	return v.Token == word
}

// Reserved values. An object with the same name is written in quotes.
const (
	none      = "none"
	unlimited = "unlimited"
	newKey    = "new"
)

// isBare reports whether text can be written without quotes.
func isBare(text string) bool {
	return bareWord.MatchString(text) && text != none && text != unlimited && text != newKey
}
