// Package field reads single top-level fields of a JSON object in place, without decoding or copying
// the rest. Prompts are megabytes long and streams have an object for each token.
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
	// WrongType means that a value has another type than asked for.
	WrongType Kind = "wrong-type"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Scan calls visit for each top-level field of the JSON object in data. Key and value point into
// data, unless the key has escapes; the value is the JSON text. An error of visit ends the scan.
// It does not allocate for valid data without escaped keys.
func Scan(data []byte, visit func(key, value []byte) error) error {
	if !json.Valid(data) {
		return fault.New("read JSON object", Syntax, "the text is not valid JSON")
	}
	return Fields(data, visit)
}

// Fields is Scan for text that is known to be valid JSON, such as a value that Scan has given.
func Fields(data []byte, visit func(key, value []byte) error) error {
	i := space(data, 0)
	if data[i] != '{' {
		return fault.New("read JSON object", NotObject, "the text is not a JSON object")
	}
	i = space(data, i+1)
	for data[i] != '}' {
		keyStart := i
		i = value(data, i)
		key, err := unquote(data[keyStart:i])
		if err != nil {
			return err
		}
		i = space(data, i)
		i = space(data, i+1)
		valueStart := i
		i = value(data, i)
		if err := visit(key, data[valueStart:i]); err != nil {
			return err
		}
		i = space(data, i)
		if data[i] == ',' {
			i = space(data, i+1)
		}
	}
	return nil
}

// Elements calls visit for each element of a JSON list that is known to be valid.
func Elements(data []byte, visit func(value []byte) error) error {
	i := space(data, 0)
	if data[i] != '[' {
		return fault.New("read JSON list", WrongType, "it must be a list")
	}
	i = space(data, i+1)
	for data[i] != ']' {
		start := i
		i = value(data, i)
		if err := visit(data[start:i]); err != nil {
			return err
		}
		i = space(data, i)
		if data[i] == ',' {
			i = space(data, i+1)
		}
	}
	return nil
}

// The functions below rely on the text being valid JSON.

func space(data []byte, i int) int {
	for i < len(data) && (data[i] == ' ' || data[i] == '\n' || data[i] == '\t' || data[i] == '\r') {
		i++
	}
	return i
}

// value returns the index after the value that starts at i.
func value(data []byte, i int) int {
	switch data[i] {
	case '"':
		return text(data, i)
	case '{', '[':
		return nested(data, i)
	default:
		for i < len(data) && !ends(data[i]) {
			i++
		}
		return i
	}
}

// ends reports whether c ends a number or a literal.
func ends(c byte) bool {
	switch c {
	case ',', ']', '}', ' ', '\n', '\t', '\r':
		return true
	default:
		return false
	}
}

func text(data []byte, i int) int {
	i++
	for {
		n := bytes.IndexByte(data[i:], '"')
		escapes := 0
		for data[i+n-escapes-1] == '\\' {
			escapes++
		}
		i += n + 1
		if escapes%2 == 0 {
			return i
		}
	}
}

func nested(data []byte, i int) int {
	for depth := 0; ; {
		switch data[i] {
		case '"':
			i = text(data, i)
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

// unquote returns the text of a JSON string, in place where it has no escapes.
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

// Text returns the bytes of a JSON string, in place where it has no escapes.
func Text(value []byte) ([]byte, error) {
	if value[0] != '"' {
		return nil, fault.New("read JSON string", WrongType, "it must be a string")
	}
	return unquote(value)
}

// maxDigits keeps an integer within int64.
const maxDigits = 18

// Int returns a JSON number that is an integer. It does not allocate for valid values.
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

// Bool returns a JSON boolean.
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

// WriteText writes the text of a JSON string to w in pieces, without a copy of the whole. Errors of w
// are ignored: it is a hash.
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
		r, length := escape(rest)
		_, _ = w.Write(utf8.AppendRune(character[:0], r))
		rest = rest[length:]
	}
	return nil
}

// escape decodes the escape sequence at the start of valid JSON text, and its length.
func escape(text []byte) (r rune, length int) {
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
		return unicodeEscape(text)
	default:
		return rune(text[1]), 2
	}
}

const unicodeLength = len(`\u0000`)

func unicodeEscape(text []byte) (r rune, length int) {
	r = hex(text)
	if !utf16.IsSurrogate(r) {
		return r, unicodeLength
	}
	if rest := text[unicodeLength:]; len(rest) >= unicodeLength && rest[0] == '\\' && rest[1] == 'u' {
		if pair := utf16.DecodeRune(r, hex(rest)); pair != utf8.RuneError {
			return pair, 2 * unicodeLength
		}
	}
	return utf8.RuneError, unicodeLength
}

func hex(text []byte) rune {
	n, _ := strconv.ParseUint(string(text[2:unicodeLength]), 16, 32)
	return rune(n)
}
