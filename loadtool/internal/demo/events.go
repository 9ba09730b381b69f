package demo

import (
	"bufio"
	"bytes"
	"io"
	"iter"
)

// lines returns the data of each server-sent event before [DONE], and the error with which the
// stream ended.
func lines(body io.Reader) (iter.Seq[[]byte], *error) {
	end := errTruncated
	return func(yield func([]byte) bool) {
		reader := bufio.NewReader(body)
		for {
			line, err := reader.ReadBytes('\n')
			data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
			if ok && bytes.Equal(data, []byte("[DONE]")) {
				end = nil
				return
			}
			if ok && !yield(data) {
				return
			}
			if err != nil {
				return
			}
		}
	}, &end
}
