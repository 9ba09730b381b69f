package settings

import (
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// findInvalidDuration returns the token of the first value in data that belongs to a time.Duration field
// of the settings type and does not parse as a duration, or nil if there is none.
func findInvalidDuration(data []byte, settings reflect.Type) *token.Token {
	file, err := parser.ParseBytes(data, 0)
	if err != nil || len(file.Docs) == 0 {
		return nil
	}
	return findInvalidDurationInNode(file.Docs[0].Body, settings)
}

func findInvalidDurationInNode(node ast.Node, t reflect.Type) *token.Token {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == reflect.TypeFor[time.Duration]():
		scalar, ok := node.(*ast.StringNode)
		if !ok {
			return nil
		}
		if _, err := time.ParseDuration(scalar.Value); err != nil {
			return scalar.GetToken()
		}
	case t.Kind() == reflect.Slice:
		sequence, ok := node.(*ast.SequenceNode)
		if !ok {
			return nil
		}
		for _, element := range sequence.Values {
			if invalid := findInvalidDurationInNode(element, t.Elem()); invalid != nil {
				return invalid
			}
		}
	case t.Kind() == reflect.Struct:
		return findInvalidDurationInFields(node, t)
	}
	return nil
}

func findInvalidDurationInFields(node ast.Node, t reflect.Type) *token.Token {
	for i := range t.NumField() {
		field := t.Field(i)
		name := yamlName(field)
		if name == inline {
			if invalid := findInvalidDurationInFields(node, field.Type); invalid != nil {
				return invalid
			}
			continue
		}
		value := lookupKey(node, name)
		if value == nil {
			continue
		}
		if invalid := findInvalidDurationInNode(value.Value, field.Type); invalid != nil {
			return invalid
		}
	}
	return nil
}
