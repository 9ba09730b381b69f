package transport

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// headState is the place of the next byte in the head of a response.
type headState int

const (
	inStatusLine headState = iota
	atFieldStart
	inFieldName
	inFieldValue
	// inEmptyLine follows the carriage return of the line that ends the head.
	inEmptyLine
	afterHead
)

// head checks the head of a response while its bytes are read, in pieces of any size. It finds what http.ReadResponse lets pass;
// the rest is left to that. Its zero value expects the first byte of a response.
type head struct {
	state headState
	// line has the start of the current line.
	line []byte
	// interim is set in the head of an interim response (1xx), after which another response follows.
	interim bool
	// http10 is set in the head of an HTTP/1.0 response.
	http10 bool
}

// maxScannedLine is the part of a line that is kept, in bytes. The status line is checked up to its status.
const maxScannedLine = 64

// complete reports whether the head of the final response has been read.
func (h *head) complete() bool {
	return h.state == afterHead
}

// scan checks further bytes. It returns an error of kind Malformed if they cannot be part of a sound head.
func (h *head) scan(p []byte) error {
	for _, b := range p {
		if h.state == afterHead {
			return nil
		}
		if err := h.scanByte(b); err != nil {
			return err
		}
	}
	return nil
}

func (h *head) scanByte(b byte) error {
	if b == '\n' {
		return h.endLine()
	}
	if len(h.line) < maxScannedLine {
		h.line = append(h.line, b)
	}
	switch h.state {
	case inStatusLine, inFieldValue:
		return nil
	default:
		return h.scanFieldName(b)
	}
}

// scanFieldName checks a byte at the start of a line or in the name of a field. A blank at the start continues the line before,
// which servers must not send (RFC 9112, section 5.2), or begins a name with a blank.
func (h *head) scanFieldName(b byte) error {
	const op = "read field name"
	switch {
	case b == '\r' && h.state == atFieldStart:
		h.state = inEmptyLine
	case b == ':' && h.state == inFieldName:
		h.state = inFieldValue
		return h.checkField(h.line[:len(h.line)-1])
	case isTokenByte(b) && h.state != inEmptyLine:
		h.state = inFieldName
	default:
		return fault.New(op, Malformed, "a line begins with %q", h.line)
	}
	return nil
}

// checkField checks the name of a field. HTTP/1.0 has no chunks, so that a chunked response has no known length
// (RFC 9112, section 6.1); net/http ignores the field and returns the chunks as the body.
func (h *head) checkField(name []byte) error {
	if h.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return fault.New("read field", Malformed, "an HTTP/1.0 response has the field %s", name)
	}
	return nil
}

// isTokenByte reports whether a byte may stand in the name of a field (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func (h *head) endLine() error {
	line, state := bytes.TrimSuffix(h.line, []byte{'\r'}), h.state
	h.line, h.state = h.line[:0], atFieldStart
	switch {
	case state == inStatusLine:
		return h.checkStatusLine(line)
	case state == inFieldName:
		return fault.New("read field", Malformed, "the line %q has no colon", line)
	case state == inFieldValue:
		return nil
	case h.interim:
		*h = head{line: h.line}
	default:
		*h = head{state: afterHead}
	}
	return nil
}

// checkStatusLine checks the protocol and the status of "HTTP/1.1 200 OK". The reason may be missing.
func (h *head) checkStatusLine(line []byte) error {
	const op = "read status line"
	version, rest, ok := bytes.Cut(line, []byte{' '})
	if !ok || string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return fault.New(op, Malformed, "the response begins with %q", line)
	}
	text, _, _ := bytes.Cut(rest, []byte{' '})
	status, err := strconv.ParseUint(string(text), 10, 16)
	if err != nil || len(text) != statusDigits {
		return fault.New(op, Malformed, "the status is %q", text)
	}
	// Nobody asks for another protocol, so 101 cannot be the response to a request.
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fault.New(op, Malformed, "the status is %s", text)
	}
	h.interim, h.http10 = status < http.StatusOK, string(version) == "HTTP/1.0"
	return nil
}

const (
	statusDigits = 3
	// maxStatus is the last valid status (RFC 9110, section 15).
	maxStatus = 599
)
