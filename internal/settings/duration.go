package settings

import (
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// badDuration returns the first value of a file that stands for a time.Duration of the settings type and
// is none, or nil.
func badDuration(data []byte, settings reflect.Type) *token.Token {
	file, err := parser.ParseBytes(data, 0)
	if err != nil || len(file.Docs) == 0 {
		return nil
	}
	return badDurationIn(file.Docs[0].Body, settings)
}

func badDurationIn(node ast.Node, t reflect.Type) *token.Token {
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
			if bad := badDurationIn(element, t.Elem()); bad != nil {
				return bad
			}
		}
	case t.Kind() == reflect.Struct:
		return badDurationField(node, t)
	}
	return nil
}

func badDurationField(node ast.Node, t reflect.Type) *token.Token {
	for i := range t.NumField() {
		field := t.Field(i)
		name := yamlName(field)
		if name == inline {
			if bad := badDurationField(node, field.Type); bad != nil {
				return bad
			}
			continue
		}
		value := child(node, name)
		if value == nil {
			continue
		}
		if bad := badDurationIn(value.Value, field.Type); bad != nil {
			return bad
		}
	}
	return nil
}
