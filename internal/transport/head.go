package transport

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// headState is the place of the next byte in the head of a response.
type headState int

const (
	inStatusLine headState = iota
	atLineStart
	inField
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
	if b != '\n' {
		if len(h.line) < maxScannedLine {
			h.line = append(h.line, b)
		}
		if h.state == atLineStart {
			h.state = inField
		}
		return nil
	}
	line := bytes.TrimSuffix(h.line, []byte{'\r'})
	h.line = h.line[:0]
	switch {
	case h.state == inStatusLine:
		h.state = atLineStart
		return h.checkStatusLine(line)
	case len(line) > 0:
		h.state = atLineStart
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
	h.interim = status < http.StatusOK
	return nil
}

const (
	statusDigits = 3
	// maxStatus is the last valid status (RFC 9110, section 15).
	maxStatus = 599
)
