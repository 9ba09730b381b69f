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

// whole reads a response without stream to its end before the caller sees any of it.
func (a *attempt) whole() (stream.Usage, error) {
	c := a.call
	response, err := a.send()
	if err != nil {
		return stream.Usage{}, err
	}
	defer response.Body.Close()
	// The engine has answered; the rest is judged by the time for the whole response.
	a.waiting.Store(false)
	a.pulse.beat(time.Now())
	limit := c.server.config.Limits.MaxResponse
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	switch {
	case err != nil:
		return stream.Usage{}, a.broken(fault.Wrap(err, "read response", stream.Broken, "the connection to the engine failed"))
	case len(body) > limit:
		return stream.Usage{}, a.broken(fault.New("read response", stream.Oversized, "the response has more than %d bytes", limit))
	}
	c.began = true
	usage, err := a.checkBody(body)
	if err != nil {
		return usage, a.broken(err)
	}
	c.commit("application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(http.StatusOK)
	if _, err := c.w.Write(body); err != nil {
		return usage, &failure{event: dispatch.Finished, final: true, err: err}
	}
	return usage, nil
}

func (a *attempt) checkBody(body []byte) (stream.Usage, error) {
	var usage stream.Usage
	request, attempt := a.call.x.RequestID, a.grant.ID
	err := field.Scan(body, func(key, value []byte) (err error) {
		var text []byte
		switch string(key) {
		case "request_id":
			text, err = field.Text(value)
			request = string(text)
		case "attempt_id":
			text, err = field.Text(value)
			attempt = string(text)
		case "usage":
			usage, err = stream.ParseUsage(value)
		}
		return err
	})
	switch {
	case err != nil:
		return usage, fault.Wrap(err, "read response", stream.Garbage, "the response is not a valid JSON object")
	case request != a.call.x.RequestID || attempt != a.grant.ID:
		return stream.Usage{}, fault.New("read response", stream.Crossed, "the response is of request %.64q, attempt %.64q", request, attempt)
	}
	return usage, nil
}
