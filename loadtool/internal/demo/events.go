package demo

import (
	"bufio"
	"bytes"
	"io"
	"iter"
)

// streamData returns the data of each server-sent event before [DONE]. The returned error is final once
// the sequence has ended: nil after [DONE], else errTruncated.
func streamData(body io.Reader) (iter.Seq[[]byte], *error) {
	streamErr := errTruncated
	return func(yield func([]byte) bool) {
		reader := bufio.NewReader(body)
		for {
			line, err := reader.ReadBytes('\n')
			data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
			if ok && bytes.Equal(data, []byte("[DONE]")) {
				streamErr = nil
				return
			}
			if ok && !yield(data) {
				return
			}
			if err != nil {
				return
			}
		}
	}, &streamErr
}
