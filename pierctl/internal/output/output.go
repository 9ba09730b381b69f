// Package output writes results as a table, JSON lines or CSV.
package output

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/dandelionpier/dandelionpier/internal/language"
)

// The output formats.
const (
	Table = "table"
	JSON  = "json"
	CSV   = "csv"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// Rows writes the rows of a query result as an aligned table, as one JSON object per row, or as CSV with a
// header line.
func Rows(w io.Writer, format string, reply language.QueryReply) error {
	switch format {
	case JSON:
		return jsonRows(w, reply)
	case CSV:
		return csvRows(w, reply)
	default:
		return tableRows(w, reply)
	}
}

func jsonRows(w io.Writer, reply language.QueryReply) error {
	for _, row := range reply.Rows {
		var values []json.RawMessage
		if err := json.Unmarshal(row, &values); err != nil {
			return err
		}
		var line bytes.Buffer
		for i, column := range reply.Columns[:min(len(reply.Columns), len(values))] {
			name, err := json.Marshal(column.Name)
			if err != nil {
				return err
			}
			if i > 0 {
				line.WriteByte(',')
			}
			line.Write(name)
			line.WriteByte(':')
			line.Write(values[i])
		}
		if _, err := fmt.Fprintf(w, "{%s}\n", line.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

func csvRows(w io.Writer, reply language.QueryReply) error {
	out := csv.NewWriter(w)
	header := make([]string, len(reply.Columns))
	for i, column := range reply.Columns {
		header[i] = column.Name
	}
	if err := out.Write(header); err != nil {
		return err
	}
	for _, row := range reply.Rows {
		cells, err := cellsOf(row)
		if err != nil {
			return err
		}
		if err := out.Write(cells); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func tableRows(w io.Writer, reply language.QueryReply) error {
	out := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	header := make([]string, len(reply.Columns))
	for i, column := range reply.Columns {
		header[i] = strings.ToUpper(column.Name)
	}
	fmt.Fprintln(out, strings.Join(header, "\t"))
	for _, row := range reply.Rows {
		cells, err := cellsOf(row)
		if err != nil {
			return err
		}
		for i, cell := range cells {
			cells[i] = printable(cell)
		}
		fmt.Fprintln(out, strings.Join(cells, "\t"))
	}
	return out.Flush()
}

// cellsOf returns the values of a row as text. The elements of a list are joined by ", ".
func cellsOf(row json.RawMessage) ([]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(row))
	decoder.UseNumber()
	var values []any
	if err := decoder.Decode(&values); err != nil {
		return nil, err
	}
	cells := make([]string, len(values))
	for i, value := range values {
		switch v := value.(type) {
		case nil:
		case []any:
			parts := make([]string, len(v))
			for j, part := range v {
				parts[j] = fmt.Sprint(part)
			}
			cells[i] = strings.Join(parts, ", ")
		default:
			cells[i] = fmt.Sprint(v)
		}
	}
	return cells, nil
}

// printable quotes text that would break the table or send control codes to the terminal. An empty cell
// becomes a dash, so that the columns remain recognisable.
func printable(text string) string {
	if text == "" {
		return "-"
	}
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

// Result writes the result of a transaction as text, as one JSON object, or as CSV with a header line.
func Result(w io.Writer, format string, reply language.CommandReply) error {
	switch format {
	case JSON:
		return json.NewEncoder(w).Encode(reply)
	case CSV:
		out := csv.NewWriter(w)
		_ = out.Write([]string{"status", "revision", "in-force", "message"}) // Flush keeps the error
		_ = out.Write([]string{reply.Status, strconv.FormatUint(reply.Revision, 10), strconv.FormatBool(reply.InForce), reply.Message})
		out.Flush()
		return out.Error()
	default:
		return textResult(w, reply)
	}
}

func textResult(w io.Writer, reply language.CommandReply) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, revision %d", reply.Status, reply.Revision)
	if reply.InForce {
		b.WriteString(", in force")
	}
	b.WriteByte('\n')
	if reply.Message != "" {
		b.WriteString(reply.Message + "\n")
	}
	for _, line := range reply.Changes {
		b.WriteString(line + "\n")
	}
	for _, revision := range reply.Since {
		fmt.Fprintf(&b, "revision %d by %s at %s:\n", revision.Revision, revision.Author, revision.Time)
		for _, line := range revision.Changes {
			b.WriteString("  " + line + "\n")
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Keys writes generated keys. This is the only time that they are shown.
func Keys(w io.Writer, format string, keys []language.GeneratedKey) error {
	for _, key := range keys {
		if format == JSON {
			if err := json.NewEncoder(w).Encode(key); err != nil {
				return err
			}
			continue
		}
		if _, err := fmt.Fprintf(w, "key of workspace %s (shown once): %s\n", key.Workspace, key.Key); err != nil {
			return err
		}
	}
	return nil
}
