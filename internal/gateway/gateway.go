// Package gateway is the request path of declared routes: it admits a request, finds endpoints for it, passes
// it on, and returns the answer of one endpoint, whole and unchanged. How callers and endpoints name things is
// up to the codecs in its configuration.
package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/placement"
)

// Kind classifies an Error.
type Kind string

const (
	// Malformed means that a caller's request cannot be read.
	Malformed Kind = "malformed"
	// NotRun means that the endpoint says that it did not run the request.
	NotRun Kind = "not-run"
	// Unreached means that no byte of the request reached the endpoint.
	Unreached Kind = "unreached"
	// Broken means that the answer is missing, incomplete or not one to this request. The request may have run.
	Broken Kind = "broken"
	// Gone means that the caller has left.
	Gone Kind = "gone"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Prompt is the size of a request to a model engine, in tokens.
type Prompt struct {
	Tokens int
	// MaxOutput bounds the answer; LikelyOutput is the caller's estimate, 0 for none.
	MaxOutput    int
	LikelyOutput int
}

// Call is one request as its caller sent it.
type Call struct {
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path and query as they are passed on.
	Path   string
	Target string
	// Header has what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's key.
	Key string
	// Wait is how long the caller waits; 0 when it does not say.
	Wait time.Duration
	// After is the id of the last event that the caller has of a stream; empty for a new one.
	After  string
	Prompt Prompt
}

// Hop is what an endpoint is told of a call.
type Hop struct {
	Call *Call
	// Endpoint is the id of the life that the request is meant for.
	Endpoint string
	Address  string
	// Workspace is the owner of the caller's key; empty on public routes.
	Workspace string
	// Left is how long the answer is of use.
	Left time.Duration
	// Urgency is the rank at a model engine, 0 first; negative for plain services.
	Urgency int
	// Helpers read parts of the prompt.
	Helpers []Helper
	// After is the id of the last event that the caller has.
	After string
}

// Helper is an engine that reads a part of a prompt for another one.
type Helper struct {
	Address string
	// Hold is the id of a reservation of memory there; empty for none.
	Hold string
}

// Reply is what the header of an endpoint's answer says.
type Reply struct {
	// ID is that of the request that the answer belongs to.
	ID string
	// Genuine says that the answer bears the endpoint's proof.
	Genuine bool
	// NotRun says that the request did not run and never will.
	NotRun bool
	// Fault is the id of the endpoint that is to blame, if it is named.
	Fault string
}

// Callers is the form of callers' requests.
type Callers interface {
	// Decode reads the header of a request. Errors are of kind Malformed.
	Decode(r *http.Request) (*Call, error)
	// Refuse answers a call that got no answer of an endpoint.
	Refuse(w http.ResponseWriter, refusal Refusal)
}

// Endpoints is the form of requests to endpoints.
type Endpoints interface {
	// Encode writes what the hop adds to the header of the call.
	Encode(h http.Header, hop Hop)
	Decode(answer *http.Response) Reply
}

// Placer places requests at model engines, as placement.Client does.
type Placer interface {
	Reserve(ctx context.Context, job placement.Job) (placement.ReserveReply, error)
	Report(e placement.Event)
}

// Reporter reports requests that crash endpoints.
type Reporter func(fingerprint uint64, endpoint string)

// Config sets up a Gateway.
type Config struct {
	DataCentre string
	Fleet      *Fleet
	Callers    Callers
	Endpoints  Endpoints
	Placer     Placer
	Memory     Memory
	// Crashed is told of requests whose endpoints died.
	Crashed Reporter
	Retries RetryConfig
	Metrics *metrics.Registry
	Logger  *zap.Logger
}

// RetryConfig bounds the retries of the whole deployment for one service. Entries share them evenly.
type RetryConfig struct {
	// Ratio is the number of retries for each request, Slack the number in each Window in any case.
	Ratio  float64
	Slack  float64
	Window time.Duration
}
