package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against the text of an error in the middle of a stream, or a stream that looks complete, when the endpoint that
// should resume it answers with a failure.
func TestFailureOfResumedStream(t *testing.T) {
	const errorText = "the engine is out of memory"
	respond := func(code int, contentType, body string) endpointBehaviour {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(code)
			_, _ = io.WriteString(w, body)
		}
	}
	for name, second := range map[string]endpointBehaviour{
		"error":                     respond(http.StatusInternalServerError, "text/plain", errorText),
		"error, with a blank line":  respond(http.StatusInternalServerError, "text/plain", errorText+"\n\n"),
		"error as an event":         respond(http.StatusBadRequest, "text/event-stream", "data: "+errorText+"\n\n"),
		"success, another type":     respond(http.StatusOK, "application/json", `{"error":"`+errorText+`"}`+"\n\n"),
		"success, event without id": respond(http.StatusOK, "text/event-stream", "data: "+errorText+"\n\n"),
		"success without a body":    respond(http.StatusNoContent, "text/plain", ""),
		"success, half an event":    respond(http.StatusOK, "text/event-stream", "data: "+errorText),
		"not run":                   notRun,
		"connection closed":         abortConnection,
		"response to another call":  respondToAnotherRequest,
		"response without a proof":  respondWithoutProof,
		"status 000":                respondRaw("HTTP/1.1 000 Odd\r\n" + rawHead + "\r\n" + encodeEvents(2, 2)),
		"status 000, not run":       respondRaw("HTTP/1.1 000 Odd\r\n" + rawHead + "Not-Run: 1\r\n\r\n"),
		"blank in a field name":     respondRaw("HTTP/1.1 200 OK\r\n" + rawHead + "X Y: z\r\n\r\n" + encodeEvents(2, 2)),
		"cut head":                  respondRaw("HTTP/1.1 200 OK\r\n" + rawHead),
		"partial content, as event": respond(http.StatusPartialContent, "text/event-stream", "data: "+errorText+"\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, map[string]endpointBehaviour{"a": func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				breakAfterOneEvent(w, r)
			}, "b": second})
			// The first engine is "a".
			if d.placer.members[0].Endpoint != "a" {
				d.placer.members[0], d.placer.members[1] = d.placer.members[1], d.placer.members[0]
			}
			response := d.call(t, http.MethodPost, "/ask/x", "", nil)
			body, err := io.ReadAll(response.Body)
			is.True(err != nil) // the stream does not look complete
			is.Equal(string(body), encodeEvents(1, 1))
			is.True(!strings.Contains(string(body), errorText))
			is.Equal(d.requestsAt("b"), 1)
		})
	}
}
