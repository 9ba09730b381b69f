package completion

import (
	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// meter hashes and counts the text of a prompt.
type meter struct {
	chain *prefix.Hasher
	bytes int
}

func (m *meter) Write(piece []byte) (int, error) {
	m.bytes += len(piece)
	return m.chain.Write(piece)
}

// measure returns the estimated tokens and the block hashes of a prompt. The text is the one that an
// engine hashes for its cache events: the prompt itself, or role and content of each message, each
// followed by a newline. The JSON must be valid.
func measure(model string, prompt []byte) (tokens int, blocks []uint64) {
	m := &meter{chain: prefix.NewHasher(model)}
	if prompt[0] == '"' {
		_ = field.WriteText(m, prompt)
	} else {
		_ = field.Elements(prompt, m.message)
	}
	return endpoint.Tokens(m.bytes), m.chain.Hashes()
}

var newline = []byte{'\n'}

func (m *meter) message(message []byte) error {
	var role, content []byte
	_ = field.Fields(message, func(key, value []byte) error {
		switch string(key) {
		case "role":
			role = value
		case "content":
			content = value
		}
		return nil
	})
	m.text(role)
	_, _ = m.Write(newline)
	m.text(content)
	_, _ = m.Write(newline)
	return nil
}

// text writes a string, or the text fields of a list of parts.
func (m *meter) text(value []byte) {
	switch {
	case len(value) > 0 && value[0] == '"':
		_ = field.WriteText(m, value)
	case len(value) > 0 && value[0] == '[':
		_ = field.Elements(value, m.part)
	}
}

func (m *meter) part(part []byte) error {
	if part[0] != '{' {
		return nil
	}
	return field.Fields(part, func(key, value []byte) error {
		if string(key) == "text" {
			m.text(value)
		}
		return nil
	})
}
