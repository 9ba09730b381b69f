// Package field reads single top-level fields of a JSON object in place, without decoding or copying
// the rest. Prompts are megabytes long and streams have an object for each token.
package field

import (
	"bytes"
	"encoding/json"

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
	const op = "read JSON object"
	if !json.Valid(data) {
		return fault.New(op, Syntax, "the text is not valid JSON")
	}
	i := space(data, 0)
	if data[i] != '{' {
		return fault.New(op, NotObject, "the text is not a JSON object")
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
		for i < len(data) && bytes.IndexByte([]byte(",]} \n\t\r"), data[i]) < 0 {
			i++
		}
		return i
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

// Empty reports whether a JSON list or object has no elements.
func Empty(value []byte) bool {
	i := space(value, 1)
	return value[i] == ']' || value[i] == '}'
}
