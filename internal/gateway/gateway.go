// Package gateway serves the requests of declared routes: it admits a request, selects endpoints for it, forwards
// it, and returns the response of one endpoint, complete and unchanged. The codecs in its configuration translate
// the formats of callers and endpoints.
package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/placement"
)

// Kind classifies an Error.
type Kind string

const (
	// Malformed means that a caller's request cannot be decoded.
	Malformed Kind = "malformed"
	// NotRun means that the endpoint reported that it did not run the request.
	NotRun Kind = "not-run"
	// Unreached means that no byte of the request reached the endpoint.
	Unreached Kind = "unreached"
	// BadResponse means that the response is missing, incomplete or belongs to another request. The request may
	// have run.
	BadResponse Kind = "broken"
	// OutOfMemory means that too many large bodies are held.
	OutOfMemory Kind = "out-of-memory"
	// Disconnected means that the caller has closed its connection.
	Disconnected Kind = "gone"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Prompt is the size of a request to a model engine, in tokens.
type Prompt struct {
	Tokens int
	// MaxOutput is the caller's limit on the output; LikelyOutput is its estimate, 0 if it gave none.
	MaxOutput    int
	LikelyOutput int
	// Parts are the ids of the parts of the prompt, in order. Prompts share parts; the last one belongs to the request
	// or its session.
	Parts []string
}

// Call is a request as received from its caller.
type Call struct {
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the request target (path and query) that is forwarded.
	Path   string
	Target string
	// Header has the fields that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's API key.
	Key string
	// Timeout is the caller's timeout, or 0 if it gave none.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller received of this stream, or empty for a new stream.
	LastEventID string
	Prompt      Prompt
}

// EndpointRequest is a call as it is sent to one endpoint.
type EndpointRequest struct {
	Call *Call
	// Endpoint is the id of the endpoint's incarnation that the request is meant for.
	Endpoint string
	// Started is the start of that incarnation in Unix milliseconds.
	Started int64
	Address string
	// Workspace is the owner of the caller's API key. It is empty on public routes.
	Workspace string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Urgency is the request's rank in the queue of a model engine, 0 being first. It is negative for plain services.
	Urgency int
	// Helpers are the engines that prefill parts of the prompt.
	Helpers []Helper
	// LastEventID is the id of the last event that the caller received, or empty for a new stream.
	LastEventID string
}

// Helper is an engine that prefills a part of a prompt for another one.
type Helper struct {
	Address string
	// ReservationID is the id of a memory reservation at the helper, or empty if there is none.
	ReservationID string
}

// ResponseInfo is the information in the header of an endpoint's response.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to, or empty if the header does not name it.
	RequestID string
	// Genuine reports whether the response carries the endpoint's proof of origin.
	Genuine bool
	// NotRun reports whether the endpoint guarantees that the request has not run and never will.
	NotRun bool
	// FaultyEndpoint is the id of the endpoint that caused the failure, if the response names it.
	FaultyEndpoint string
	// Leaving reports whether the endpoint says that it is about to stop and takes no more requests.
	Leaving bool
	// Pause is the time for which the endpoint wants no more requests from this entry, or 0.
	Pause time.Duration
}

// CallerCodec decodes the requests of callers and encodes refusals for them.
type CallerCodec interface {
	// Decode decodes the header of a request. Errors are of kind Malformed.
	Decode(r *http.Request) (*Call, error)
	// Refuse writes a refusal as the response to a call.
	Refuse(w http.ResponseWriter, refusal Refusal)
}

// EndpointCodec encodes requests for endpoints and decodes the headers of their responses.
type EndpointCodec interface {
	// Encode adds the header fields for the endpoint to the header of the call.
	Encode(h http.Header, outgoing EndpointRequest)
	Decode(response *http.Response) ResponseInfo
}

// Placer assigns requests to model engines. placement.Client implements it.
type Placer interface {
	Reserve(ctx context.Context, job placement.Job) (placement.ReserveReply, error)
	Report(e placement.Event)
}

// Witness is told which requests endpoints crash on and which they do not. crash.Witness implements it.
type Witness interface {
	// ReportCrash is called for each request whose endpoint crashed while it ran the request.
	ReportCrash(report crash.Report, fingerprint uint64)
	// RecordServed is called when an endpoint has served a request with success.
	RecordServed(fingerprint uint64)
	// RecordWritten is called when an engine has begun to write on a prompt with the given parts.
	RecordWritten(parts []string)
}

// Config configures a Gateway.
type Config struct {
	DataCentre    string
	Fleet         *Fleet
	CallerCodec   CallerCodec
	EndpointCodec EndpointCodec
	Placer        Placer
	Memory        MemoryClient
	Witness       Witness
	Retries       RetryConfig
	Metrics       *metrics.Registry
	Logger        *zap.Logger
}

// RetryConfig limits the retries that the whole deployment makes for one service. Entries share them evenly.
type RetryConfig struct {
	// Ratio is the number of retries allowed per request, Slack the number allowed per Window in addition.
	Ratio  float64
	Slack  float64
	Window time.Duration
}
