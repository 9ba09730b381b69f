package completion

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dandelionpier/dandelionpier/entryd/internal/field"
	"github.com/dandelionpier/dandelionpier/entryd/internal/stream"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// receiveResponse reads a response that is not streamed to its end before the caller receives any of it.
func (a *attempt) receiveResponse() (stream.Usage, error) {
	c := a.call
	response, err := a.send()
	if err != nil {
		return stream.Usage{}, err
	}
	defer response.Body.Close()
	// The engine has responded; from here on only the timeout for the whole response applies.
	a.awaitingFirstEvent.Store(false)
	a.activity.record(time.Now())
	limit := c.server.config.Limits.MaxResponse
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	switch {
	case err != nil:
		return stream.Usage{}, a.streamFailure(fault.Wrap(err, "read response", stream.ConnectionFailed, "the connection to the engine failed"))
	case len(body) > limit:
		return stream.Usage{}, a.streamFailure(fault.New("read response", stream.Oversized, "the response has more than %d bytes", limit))
	}
	c.responseStarted = true
	usage, err := a.checkResponseBody(body)
	if err != nil {
		return usage, a.streamFailure(err)
	}
	c.commit("application/json")
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(http.StatusOK)
	if _, err := c.writer.Write(body); err != nil {
		return usage, &failure{event: dispatch.Finished, final: true, err: err}
	}
	return usage, nil
}

func (a *attempt) checkResponseBody(body []byte) (stream.Usage, error) {
	var usage stream.Usage
	requestID, attemptID := a.call.exchange.RequestID, a.grant.ID
	err := field.Scan(body, func(key, value []byte) (err error) {
		var text []byte
		switch string(key) {
		case "request_id":
			text, err = field.Text(value)
			requestID = string(text)
		case "attempt_id":
			text, err = field.Text(value)
			attemptID = string(text)
		case "usage":
			usage, err = stream.ParseUsage(value)
		}
		return err
	})
	switch {
	case err != nil:
		return usage, fault.Wrap(err, "read response", stream.Malformed, "the response is not a valid JSON object")
	case requestID != a.call.exchange.RequestID || attemptID != a.grant.ID:
		return stream.Usage{}, fault.New("read response", stream.Mismatched, "the response is of request %.64q, attempt %.64q", requestID, attemptID)
	}
	return usage, nil
}
