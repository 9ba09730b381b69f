package completion

import (
	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// promptHasher hashes and counts the text of a prompt.
type promptHasher struct {
	hasher *prefix.Hasher
	bytes  int
}

func (h *promptHasher) Write(piece []byte) (int, error) {
	h.bytes += len(piece)
	return h.hasher.Write(piece)
}

// hashPrompt returns the estimated number of tokens and the block hashes of a prompt. The text is the one
// that an engine hashes for its cache events: the prompt itself, or role and content of each message, each
// followed by a newline. The JSON must be valid.
func hashPrompt(model string, prompt []byte) (tokens int, blocks []uint64) {
	h := &promptHasher{hasher: prefix.NewHasher(model)}
	if prompt[0] == '"' {
		_ = field.WriteText(h, prompt)
	} else {
		_ = field.Elements(prompt, h.writeMessage)
	}
	return endpoint.Tokens(h.bytes), h.hasher.Hashes()
}

var newline = []byte{'\n'}

func (h *promptHasher) writeMessage(message []byte) error {
	var role, content []byte
	_ = field.ScanValid(message, func(key, value []byte) error {
		switch string(key) {
		case "role":
			role = value
		case "content":
			content = value
		}
		return nil
	})
	h.writeContent(role)
	_, _ = h.Write(newline)
	h.writeContent(content)
	_, _ = h.Write(newline)
	return nil
}

// writeContent writes a string, or the text fields of a list of content parts.
func (h *promptHasher) writeContent(value []byte) {
	switch {
	case len(value) > 0 && value[0] == '"':
		_ = field.WriteText(h, value)
	case len(value) > 0 && value[0] == '[':
		_ = field.Elements(value, h.writePart)
	}
}

func (h *promptHasher) writePart(part []byte) error {
	if part[0] != '{' {
		return nil
	}
	return field.ScanValid(part, func(key, value []byte) error {
		if string(key) == "text" {
			h.writeContent(value)
		}
		return nil
	})
}
