// Package settings reads the YAML settings of a program strictly: an unknown key, an invalid value or a
// missing file is an error that names the file, line, column and what is accepted.
package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/go-playground/validator/v10"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Kind classifies an Error.
type Kind string

const (
	// Missing means that the file could not be read.
	Missing Kind = "missing"
	// Syntax means that the file is not YAML or has an unknown key or a value of the wrong type.
	Syntax Kind = "syntax"
	// Invalid means that a value is outside what the option allows.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Load reads the file at path into target, a pointer to a struct that already holds the defaults.
// Fields are named by yaml tags and checked by validate tags. Errors are of type *Error.
func Load(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, "read settings", Missing, path+": a settings file is needed")
	}
	return Parse(path, data, target)
}

// Parse is Load for data already in memory; name is the file name in error messages.
func Parse(name string, data []byte, target any) error {
	err := yaml.UnmarshalWithOptions(data, target, yaml.Strict())
	if err != nil {
		return syntaxError(name, data, err, target)
	}
	err = newValidator().Struct(target)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		return invalidError(name, data, failures)
	}
	return fault.Wrap(err, "check settings", Invalid, name)
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	if err := v.RegisterValidation("listen_address", isListenAddress); err != nil {
		panic(err) // the tag is constant
	}
	if err := v.RegisterValidation("https_address", func(level validator.FieldLevel) bool {
		return v.Var(strings.TrimPrefix(level.Field().String(), "https://"), "hostname_port") == nil
	}); err != nil {
		panic(err) // the tag is constant
	}
	return v
}

// isListenAddress accepts host:port like hostname_port, and also port 0, for which the system
// chooses a port.
func isListenAddress(level validator.FieldLevel) bool {
	host, port, err := net.SplitHostPort(level.Field().String())
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil && host != ""
}

// inline is the name of an embedded struct in field paths; its keys belong to the parent.
const inline = "<inline>"

func yamlName(field reflect.StructField) string {
	name, rest, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "" && rest == "inline" {
		return inline
	}
	return name
}

func syntaxError(name string, data []byte, err error, target any) error {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		// The decoder reports an invalid duration without its position.
		if invalid := findInvalidDuration(data, reflect.TypeOf(target)); invalid != nil {
			return fault.New("parse settings", Syntax, "%s:%d:%d: %q is not a duration such as 1.5s or 10m",
				name, invalid.Position.Line, invalid.Position.Column, invalid.Value)
		}
		return fault.Wrap(err, "parse settings", Syntax, name)
	}
	position := yamlErr.GetToken().Position
	message := yamlErr.GetMessage()
	if strings.Contains(message, "unknown field") {
		message += "; known keys: " + strings.Join(keys(reflect.TypeOf(target)), ", ")
	}
	return fault.New("parse settings", Syntax, "%s:%d:%d: %s", name, position.Line, position.Column, message)
}

// keys lists the top-level and nested keys of a settings struct, nested ones as parent.child.
func keys(t reflect.Type) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == reflect.TypeFor[time.Duration]() {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		name := yamlName(t.Field(i))
		if name == "" || name == "-" {
			continue
		}
		if name == inline {
			names = append(names, keys(t.Field(i).Type)...)
			continue
		}
		names = append(names, name)
		for _, child := range keys(t.Field(i).Type) {
			names = append(names, name+"."+child)
		}
	}
	return names
}

func invalidError(name string, data []byte, failures validator.ValidationErrors) error {
	failure := failures[0]
	_, path, _ := strings.Cut(failure.Namespace(), ".")
	path = strings.ReplaceAll(path, inline+".", "")
	line, column := position(data, path)
	return fault.New("check settings", Invalid, "%s:%d:%d: %s is %v; %s",
		name, line, column, path, failure.Value(), expectation(failure))
}

func expectation(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return "a value is required"
	case "min", "gte":
		return "it must be at least " + failure.Param()
	case "max", "lte":
		return "it must be at most " + failure.Param()
	case "gt":
		return "it must be more than " + failure.Param()
	case "lt":
		return "it must be less than " + failure.Param()
	case "oneof":
		return "it must be one of " + failure.Param()
	case "hostname_port", "listen_address":
		return "it must be an address such as 127.0.0.1:8080"
	case "https_address":
		return "it must be an address such as 127.0.0.1:8080 or https://127.0.0.1:8080"
	default:
		return strings.TrimSpace(fmt.Sprintf("it must satisfy %s %s", failure.Tag(), failure.Param()))
	}
}

// NewOptionError returns an error of kind Invalid with the position of an option in the file at path, for
// checks that validate tags cannot express. List elements are named as in option[0].
func NewOptionError(path, option, format string, args ...any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, "read settings", Missing, path)
	}
	line, column := position(data, option)
	return fault.New("check settings", Invalid, "%s:%d:%d: %s", path, line, column, fmt.Sprintf(format, args...))
}

// position returns the line and column of the option at a dotted path, or of its nearest parent in the file.
func position(data []byte, path string) (line, column int) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil || len(file.Docs) == 0 {
		return 1, 1
	}
	var node ast.Node = file.Docs[0].Body
	line, column = 1, 1
	for _, part := range strings.Split(path, ".") {
		key, index, indexed := strings.Cut(strings.TrimSuffix(part, "]"), "[")
		value := lookupKey(node, key)
		if value == nil {
			return line, column
		}
		node = value.Value
		optionPosition := value.Key.GetToken().Position
		line, column = optionPosition.Line, optionPosition.Column
		if !indexed {
			continue
		}
		sequence, ok := node.(*ast.SequenceNode)
		var i int
		if _, err := fmt.Sscan(index, &i); err != nil || !ok || i >= len(sequence.Values) {
			return line, column
		}
		node = sequence.Values[i]
		optionPosition = firstToken(node).Position
		line, column = optionPosition.Line, optionPosition.Column
	}
	return line, column
}

// firstToken returns the token of the first key of a mapping, since the token of the mapping itself is the
// colon after that key, or the token of any other node.
func firstToken(node ast.Node) *token.Token {
	switch n := node.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return n.Values[0].Key.GetToken()
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken()
	}
	return node.GetToken()
}

func lookupKey(node ast.Node, key string) *ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, value := range n.Values {
			if value.Key.String() == key {
				return value
			}
		}
	case *ast.MappingValueNode:
		if n.Key.String() == key {
			return n
		}
	}
	return nil
}
