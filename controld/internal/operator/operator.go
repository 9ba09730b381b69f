// Package operator implements the operators' HTTP API: commands, queries and reports. Requests must
// carry an operator key; callers' keys are rejected.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

// Kind classifies an Error.
type Kind string

const (
	// Malformed means that the request cannot be parsed or is invalid.
	Malformed Kind = "malformed"
	// Denied means that the request carries no operator key.
	Denied Kind = "denied"
	// Unavailable means that no leader replied; the request may be retried with the same command id.
	Unavailable Kind = "unavailable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Submitter proposes transactions to the control quorum.
type Submitter interface {
	Submit(ctx context.Context, request control.SubmitRequest) (control.SubmitReply, error)
}

// Querier reads the state of the control quorum.
type Querier interface {
	Query(ctx context.Context, request control.QueryRequest) (control.QueryReply, error)
}

// Caller calls a method of a peer process; *peer.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config configures an API.
type Config struct {
	Submitter Submitter
	Querier   Querier
	// Quorum changes the members of the quorum, if this instance is the leader.
	Quorum Quorum
	// Peers calls the entries.
	Peers Caller
	// Operators lists the operators with the hashes of their keys.
	Operators []Operator
	// DataCentres are those of the deployment; empty means that every name is accepted.
	DataCentres []string
	// LeaderAddress returns the operator address (host:port) of the leader with the given peer address,
	// or an empty string if it is not known.
	LeaderAddress func(leader string) string
	// Now is the clock.
	Now    func() time.Time
	Logger *zap.Logger
}

const (
	// maxRequestBytes is enough for the longest text with JSON escapes.
	maxRequestBytes = 2*language.MaxTextBytes + 4096
	// requestTimeout allows for an election, a commit (at most 2 s) and the time until a revision is in
	// force (at most 4.3 s), and lets pierctl try three instances within its timeout of 30 s.
	requestTimeout = 8 * time.Second
	// fleetTimeout bounds how long a query waits for the entries.
	fleetTimeout = time.Second
)

// API serves the operators' HTTP API.
type API struct {
	config Config
	router *mux.Router
}

// New returns an API.
func New(config Config) *API {
	a := &API{config: config, router: mux.NewRouter()}
	a.router.HandleFunc("/v1/commands", a.handleCommand).Methods(http.MethodPost)
	a.router.HandleFunc("/v1/queries", a.handleQuery).Methods(http.MethodPost)
	a.router.HandleFunc("/v1/quorum", a.handleAddMember).Methods(http.MethodPost)
	a.router.HandleFunc("/v1/quorum/{id}", a.handleRemoveMember).Methods(http.MethodDelete)
	a.router.HandleFunc("/v1/reports/burn", a.handleBurnReport).Methods(http.MethodGet)
	a.router.Use(a.authenticate)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.router.ServeHTTP(w, r)
}

// decode decodes the JSON body into target and rejects unknown fields.
func decode(w http.ResponseWriter, r *http.Request, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	return fault.Wrap(decoder.Decode(target), "decode request", Malformed, "the body")
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func (a *API) fail(w http.ResponseWriter, r *http.Request, status int, err error) {
	a.config.Logger.Warn(
		"Refused an operator's request", zap.String("operator", operatorName(r)),
		zap.String("path", r.URL.Path), zap.Int("status", status), zap.Error(err),
	)
	respond(w, status, language.ErrorReply{Error: err.Error()})
}
