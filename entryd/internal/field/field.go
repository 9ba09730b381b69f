// Package field reads top-level fields of a JSON object in place, without decoding or copying the rest:
// prompts are megabytes long, and a stream has one object for each token.
package field

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Syntax means that the data is not JSON.
	Syntax Kind = "syntax"
	// NotObject means that the data is JSON but not an object.
	NotObject Kind = "not-object"
	// WrongType means that a value does not have the requested type.
	WrongType Kind = "wrong-type"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Scan calls visit for each top-level field of the JSON object in data. The key and the value point into
// data, unless the key has escapes; the value is raw JSON. An error of visit ends the scan and is returned.
// Scan does not allocate for valid data without escaped keys.
func Scan(data []byte, visit func(key, value []byte) error) error {
	if !json.Valid(data) {
		return fault.New("read JSON object", Syntax, "the text is not valid JSON")
	}
	return ScanValid(data, visit)
}

// ScanValid is Scan for text that is known to be valid JSON, such as a value that Scan has passed to visit.
func ScanValid(data []byte, visit func(key, value []byte) error) error {
	i := skipSpace(data, 0)
	if data[i] != '{' {
		return fault.New("read JSON object", NotObject, "the text is not a JSON object")
	}
	i = skipSpace(data, i+1)
	for data[i] != '}' {
		keyStart := i
		i = skipValue(data, i)
		key, err := unquote(data[keyStart:i])
		if err != nil {
			return err
		}
		i = skipSpace(data, i)
		i = skipSpace(data, i+1)
		valueStart := i
		i = skipValue(data, i)
		if err := visit(key, data[valueStart:i]); err != nil {
			return err
		}
		i = skipSpace(data, i)
		if data[i] == ',' {
			i = skipSpace(data, i+1)
		}
	}
	return nil
}

// Elements calls visit for each element of a JSON array that is known to be valid.
func Elements(data []byte, visit func(value []byte) error) error {
	i := skipSpace(data, 0)
	if data[i] != '[' {
		return fault.New("read JSON list", WrongType, "it must be a list")
	}
	i = skipSpace(data, i+1)
	for data[i] != ']' {
		start := i
		i = skipValue(data, i)
		if err := visit(data[start:i]); err != nil {
			return err
		}
		i = skipSpace(data, i)
		if data[i] == ',' {
			i = skipSpace(data, i+1)
		}
	}
	return nil
}

// The functions below rely on the text being valid JSON.

func skipSpace(data []byte, i int) int {
	for i < len(data) && (data[i] == ' ' || data[i] == '\n' || data[i] == '\t' || data[i] == '\r') {
		i++
	}
	return i
}

// skipValue returns the index after the value that starts at i.
func skipValue(data []byte, i int) int {
	switch data[i] {
	case '"':
		return skipString(data, i)
	case '{', '[':
		return skipNested(data, i)
	default:
		for i < len(data) && !endsLiteral(data[i]) {
			i++
		}
		return i
	}
}

// endsLiteral reports whether c ends a number or a literal.
func endsLiteral(c byte) bool {
	switch c {
	case ',', ']', '}', ' ', '\n', '\t', '\r':
		return true
	default:
		return false
	}
}

func skipString(data []byte, i int) int {
	i++
	for {
		quote := bytes.IndexByte(data[i:], '"')
		backslashes := 0
		for data[i+quote-backslashes-1] == '\\' {
			backslashes++
		}
		i += quote + 1
		if backslashes%2 == 0 {
			return i
		}
	}
}

func skipNested(data []byte, i int) int {
	for depth := 0; ; {
		switch data[i] {
		case '"':
			i = skipString(data, i)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		i++
		if depth == 0 {
			return i
		}
	}
}

// unquote decodes a JSON string. The result points into quoted unless the string has escapes.
func unquote(quoted []byte) ([]byte, error) {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1], nil
	}
	var s string
	if err := json.Unmarshal(quoted, &s); err != nil {
		return nil, fault.Wrap(err, "read JSON string", Syntax, "unquote")
	}
	return []byte(s), nil
}

// Text returns the bytes of a JSON string. The result points into value unless the string has escapes.
func Text(value []byte) ([]byte, error) {
	if value[0] != '"' {
		return nil, fault.New("read JSON string", WrongType, "it must be a string")
	}
	return unquote(value)
}

// maxDigits keeps an integer within the range of int64.
const maxDigits = 18

// Int parses a JSON number that is an integer. It does not allocate for valid values.
func Int(value []byte) (int64, error) {
	digits := value
	negative := digits[0] == '-'
	if negative {
		digits = digits[1:]
	}
	if len(digits) == 0 || len(digits) > maxDigits {
		return 0, errInteger()
	}
	var n int64
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, errInteger()
		}
		n = n*10 + int64(c-'0')
	}
	if negative {
		n = -n
	}
	return n, nil
}

func errInteger() error {
	return fault.New("read JSON integer", WrongType, "it must be an integer of at most %d digits", maxDigits)
}

// Bool parses a JSON boolean.
func Bool(value []byte) (bool, error) {
	switch string(value) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, fault.New("read JSON boolean", WrongType, "it must be true or false")
	}
}

// WriteText writes the decoded text of a JSON string to w in pieces, without copying the whole. Errors of w
// are ignored, because w is a hash.
func WriteText(w io.Writer, value []byte) error {
	if value[0] != '"' {
		return fault.New("read JSON string", WrongType, "it must be a string")
	}
	rest := value[1 : len(value)-1]
	var character [utf8.UTFMax]byte
	for len(rest) > 0 {
		n := bytes.IndexByte(rest, '\\')
		if n < 0 {
			n = len(rest)
		}
		if n > 0 {
			_, _ = w.Write(rest[:n])
			rest = rest[n:]
			continue
		}
		r, length := decodeEscape(rest)
		_, _ = w.Write(utf8.AppendRune(character[:0], r))
		rest = rest[length:]
	}
	return nil
}

// decodeEscape decodes the escape sequence at the start of valid JSON text and returns its length.
func decodeEscape(text []byte) (r rune, length int) {
	switch text[1] {
	case 'b':
		return '\b', 2
	case 'f':
		return '\f', 2
	case 'n':
		return '\n', 2
	case 'r':
		return '\r', 2
	case 't':
		return '\t', 2
	case 'u':
		return decodeUnicodeEscape(text)
	default:
		return rune(text[1]), 2
	}
}

const unicodeEscapeLength = len(`\u0000`)

func decodeUnicodeEscape(text []byte) (r rune, length int) {
	r = parseHex(text)
	if !utf16.IsSurrogate(r) {
		return r, unicodeEscapeLength
	}
	if rest := text[unicodeEscapeLength:]; len(rest) >= unicodeEscapeLength && rest[0] == '\\' && rest[1] == 'u' {
		if combined := utf16.DecodeRune(r, parseHex(rest)); combined != utf8.RuneError {
			return combined, 2 * unicodeEscapeLength
		}
	}
	return utf8.RuneError, unicodeEscapeLength
}

func parseHex(text []byte) rune {
	n, _ := strconv.ParseUint(string(text[2:unicodeEscapeLength]), 16, 32)
	return rune(n)
}
