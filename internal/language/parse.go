package language

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// MaxTextBytes is the maximum length of a text. A transaction of 1,000 lines of ordinary length fits.
const MaxTextBytes = 256 << 10

const wordPattern = `[\pL\pN_./:+@*%-]+`

var (
	bareWord        = regexp.MustCompile(`^` + wordPattern + `$`)
	lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "Newline", Pattern: `[\n;]`},
		{Name: "Space", Pattern: `[ \t\r]+`},
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
		{Name: "Comma", Pattern: `,`},
		{Name: "Word", Pattern: wordPattern},
	})
	parser = participle.MustBuild[Text](
		participle.Lexer(lexerDefinition),
		participle.Elide("Comment", "Space"),
	)
)

// Grammar returns the grammar in extended Backus-Naur form.
func Grammar() string {
	return parser.String()
}

// Parse parses one query or one transaction. Errors are of type *Error and kind Syntax; their message
// starts with line:column and suggests the closest valid word, if there is a similar one.
func Parse(text string) (Text, error) {
	if len(text) > MaxTextBytes {
		return Text{}, fault.New("parse", Syntax, "1:1: the text has %d bytes; the limit is %d", len(text), MaxTextBytes)
	}
	parsed, err := parser.ParseString("", text)
	if err != nil {
		return Text{}, parseError(text, err)
	}
	if err := check(*parsed); err != nil {
		return Text{}, err
	}
	return *parsed, nil
}

func syntaxError(pos lexer.Position, format string, args ...any) error {
	return fault.New("parse", Syntax, "%d:%d: %s", pos.Line, pos.Column, fmt.Sprintf(format, args...))
}

func parseError(text string, err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		token := unexpected.Unexpected
		return unexpectedError(token, expectedWords(text, token.Pos.Offset))
	}
	var parserError participle.Error
	if !errors.As(err, &parserError) {
		return fault.Wrap(err, "parse", Syntax, "1:1")
	}
	pos := parserError.Position()
	if pos.Offset < len(text) && text[pos.Offset] == '"' {
		return syntaxError(pos, "the quoted text has no end on its line")
	}
	return syntaxError(pos, "%s", parserError.Message())
}

func unexpectedError(token lexer.Token, expected []string) error {
	found := strconv.Quote(token.Value)
	if token.EOF() || token.Value == "\n" || token.Value == ";" {
		found = "end of line"
	}
	if slices.Contains(expected, token.Value) {
		return syntaxError(token.Pos, "%s does not belong here", found)
	}
	if near, ok := nearest(token.Value, expected); ok {
		return syntaxError(token.Pos, "unexpected %s; did you mean %q?", found, near)
	}
	if len(expected) == 0 {
		return syntaxError(token.Pos, "unexpected %s", found)
	}
	return syntaxError(token.Pos, "unexpected %s; expected %s", found, strings.Join(expected, ", "))
}

// expectedWords lists what is valid at an offset, judging by the words before it on the same line.
func expectedWords(text string, offset int) []string {
	line := text[:min(offset, len(text))]
	if i := strings.LastIndexAny(line, "\n;"); i >= 0 {
		line = line[i+1:]
	}
	words := strings.Fields(strings.ReplaceAll(line, ",", " , "))
	if len(words) == 0 {
		return verbs
	}
	switch verb := words[0]; verb {
	case "show":
		return expectedInQuery(words)
	case "set", "unset":
		return expectedInSet(words)
	case "add", "remove":
		preposition := map[string]string{"add": "to", "remove": "from"}[verb]
		sequence := []string{"key", "HASH or new", preposition, "workspace", "NAME", "end of line"}
		return sequence[min(len(words), len(sequence))-1:][:1]
	case "drain", "undrain":
		sequence := [][]string{{"endpoint", "instance"}, {"NAME"}, {"end of line"}}
		return sequence[min(len(words), len(sequence))-1]
	case "check":
		return []string{"a command on the next line"}
	default:
		return verbs
	}
}

func expectedInQuery(words []string) []string {
	if len(words) == 1 {
		return subjectNames()
	}
	last := words[len(words)-1]
	subject, ok := Subjects[words[1]]
	switch {
	case ok && (last == "where" || last == "and" || last == "by" || last == ","):
		return subject.fields()
	case last == "order":
		return []string{"by"}
	case last == "limit":
		return []string{"NUMBER"}
	case last == "since" || last == "until":
		return []string{"DURATION or DATE"}
	case ok && len(words) > 2 && (words[len(words)-2] == "where" || words[len(words)-2] == "and"):
		return operators
	default:
		return clauseKeywords
	}
}

func expectedInSet(words []string) []string {
	switch {
	case len(words) == 1:
		return kindNames
	case len(words) == 2:
		return []string{"NAME"}
	case words[0] == "unset":
		return []string{"end of line"}
	case len(words)%2 == 0:
		return []string{"VALUE"}
	default:
		return objectFields[words[1]]
	}
}
