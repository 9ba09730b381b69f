package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Reference returns a Markdown table of all options of a settings struct, given by a pointer to its
// defaults. Nested options are named parent.child, those of list elements parent[].child. The
// description column holds the description tag of the field.
func Reference(defaults any) string {
	var b strings.Builder
	b.WriteString("| option | type | default | bounds | description |\n|---|---|---|---|---|\n")
	writeRows(&b, "", reflect.ValueOf(defaults).Elem())
	return b.String()
}

func writeRows(b *strings.Builder, parent string, value reflect.Value) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		switch {
		case field.Type.Kind() == reflect.Struct && name == "":
			writeRows(b, parent, value.Field(i))
		case field.Type.Kind() == reflect.Struct:
			writeRows(b, parent+name+".", value.Field(i))
		default:
			fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", parent+name, typeName(field.Type),
				defaultText(value.Field(i)), boundsText(field.Tag.Get("validate")), field.Tag.Get("description"))
			if field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
				writeRows(b, parent+name+"[].", reflect.Zero(field.Type.Elem()))
			}
		}
	}
}

func typeName(t reflect.Type) string {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list"
	default:
		return t.Kind().String()
	}
}

func defaultText(v reflect.Value) string {
	if v.Kind() == reflect.Pointer || v.Kind() == reflect.Slice || v.Kind() == reflect.String && v.String() == "" {
		return ""
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

var validateTagTexts = strings.NewReplacer("min=", "at least ", "max=", "at most ", "oneof=", "one of ",
	"len=64", "64 characters", "gte=", "at least ", "lte=", "at most ", "gt=", "more than ", "lt=", "less than ",
	"hostname_port", "host:port", "listen_address", "host:port (port 0 for any)", "https_address", "host:port or https://host:port",
	"omitempty,", "", "omitnil,", "", "dive,", "each ")

func boundsText(tag string) string {
	// A trailing dive only descends into list elements, which have rows of their own.
	tag = strings.TrimSuffix(strings.TrimSuffix(tag, "dive"), ",")
	return strings.ReplaceAll(validateTagTexts.Replace(tag), ",", ", ")
}
