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

// Query asks for the rows of a subject. Each clause stands at most once, in any order.
type Query struct {
	Subject Word      `parser:"'show':Word @@"`
	Clauses []*Clause `parser:"@@*"`
}

// Clause narrows, groups, sorts or bounds the rows of a query. Exactly one field but Pos is set.
type Clause struct {
	Pos   lexer.Position
	Where []*Condition `parser:"  'where':Word @@ ( 'and':Word @@ )*"`
	By    []*Word      `parser:"| 'by':Word @@ ( Comma @@ )*"`
	Order *Order       `parser:"| 'order':Word 'by':Word @@"`
	Limit *Value       `parser:"| 'limit':Word @@"`
	Since *Value       `parser:"| 'since':Word @@"`
	Until *Value       `parser:"| 'until':Word @@"`
}

// clauses returns the clauses of the query as one.
func (q Query) clauses() Clause {
	var all Clause
	for _, c := range q.Clauses {
		switch {
		case c.Where != nil:
			all.Where = c.Where
		case c.By != nil:
			all.By = c.By
		case c.Order != nil:
			all.Order = c.Order
		case c.Limit != nil:
			all.Limit = c.Limit
		case c.Since != nil:
			all.Since = c.Since
		case c.Until != nil:
			all.Until = c.Until
		}
	}
	return all
}

// name returns the word that the clause starts with.
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

// Condition selects rows.
type Condition struct {
	Field    Word   `parser:"@@"`
	Operator string `parser:"@Operator"`
	Value    Value  `parser:"@@"`
}

// Order sorts rows.
type Order struct {
	Field      Word `parser:"@@"`
	Descending bool `parser:"@'desc':Word?"`
}

// Transaction is a list of commands that are accepted or rejected together.
type Transaction struct {
	// Check asks what would change without doing it.
	Check    bool       `parser:"( @'check':Word Newline+ )?"`
	Commands []*Command `parser:"@@ ( Newline+ @@? )*"`
}

// Command is one line of a transaction. Exactly one field but Pos is set.
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

// Field is a field of an object with its values.
type Field struct {
	Name   Word     `parser:"@@"`
	Values []*Value `parser:"@@ ( Comma @@ )*"`
}

// Unset deletes an object.
type Unset struct {
	Kind Word  `parser:"'unset':Word @@"`
	Name Value `parser:"@@"`
}

// Add adds a key to a workspace: the hexadecimal SHA-256 sum of the key, or the word new.
type Add struct {
	Hash      Value `parser:"'add':Word 'key':Word @@"`
	Workspace Value `parser:"'to':Word 'workspace':Word @@"`
}

// Remove removes a key from a workspace: the sum, or its first digits where they are unique.
type Remove struct {
	Hash      Value `parser:"'remove':Word 'key':Word @@"`
	Workspace Value `parser:"'from':Word 'workspace':Word @@"`
}

// Drain starts or ends the drain of an endpoint or instance.
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

// Value is a name or value as written: bare, or quoted as in Go.
type Value struct {
	Pos   lexer.Position
	Token string `parser:"@( Word | String )"`
}

// NewValue returns the value that stands for text, quoted where that is needed.
func NewValue(text string) Value {
	if bare(text) {
		return Value{Token: text}
	}
	return Value{Token: strconv.Quote(text)}
}

// Text returns the value without quotes.
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

// Quoted reports whether the value is written in quotes. Reserved values such as none are bare.
func (v Value) Quoted() bool {
	return strings.HasPrefix(v.Token, `"`)
}

// is reports whether the value is the reserved word.
func (v Value) is(word string) bool {
	return v.Token == word
}

// Reserved values; an object of the same name is written in quotes.
const (
	none      = "none"
	unlimited = "unlimited"
	newKey    = "new"
)

func bare(text string) bool {
	return bareWord.MatchString(text) && text != none && text != unlimited && text != newKey
}
