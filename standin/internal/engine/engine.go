// Package engine serves the HTTP interface of a simulated model engine.
package engine

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/standin/internal/faults"
	"github.com/dandelionpier/dandelionpier/standin/internal/model"
	"github.com/dandelionpier/dandelionpier/standin/internal/options"
)

const (
	// maxBodyBytes is the largest accepted body, as in docs/design.md section 11.
	maxBodyBytes = 8 << 20
	// maxCacheEvents is the maximum number of cache events in an announcement.
	maxCacheEvents = 2048
)

// Config configures an engine.
type Config struct {
	Options     options.Engine
	Incarnation string
	Logger      *zap.Logger
	// Client is used to reach the weight store and the members of groups.
	Client *http.Client
	// TLS is set if Client connects to the members of groups over TLS; it selects the https scheme.
	TLS *tls.Config
	// Crash ends the process.
	Crash func()
}

// Engine is the HTTP server of a simulated engine.
type Engine struct {
	config       Config
	model        *model.Engine
	faults       *faults.Injector
	inFlight     atomic.Int64
	pendingLoads sync.WaitGroup

	mu       sync.Mutex
	state    endpoint.PlatformState
	draining bool
	// cancelLoad cancels the load of weights in progress.
	cancelLoad context.CancelFunc
	// background is the context of weight loads; Run sets it.
	background context.Context
}

// New returns an engine.
func New(config Config) *Engine {
	o := config.Options
	return &Engine{
		config:     config,
		background: context.Background(),
		faults:     faults.New(o.Faults),
		cancelLoad: func() {},
		model: model.New(model.Config{
			PrefillRate:    o.PrefillRate,
			DecodeRate:     o.DecodeRate,
			ChunkTokens:    o.ChunkTokens,
			Memory:         o.Memory,
			MaxRunning:     o.MaxRunning,
			Speed:          o.Speed,
			ReportLag:      o.ReportLag,
			EventLag:       o.EventLag,
			EventGap:       o.EventGap,
			NotifyInterval: o.NotifyInterval,
			Crash:          config.Crash,
		}),
		state: endpoint.PlatformState{
			Incarnation: config.Incarnation,
			Models:      o.Models,
			Version:     o.Version,
			Adapters:    o.Adapters,
			Role:        o.Role,
			Memory:      o.Memory,
		},
	}
}

// Handler returns the routes of the engine.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/platform/holdings", e.createHolding).Methods(http.MethodPost)
	r.HandleFunc("/platform/holdings", e.listHoldings).Methods(http.MethodGet)
	r.HandleFunc("/platform/holdings/{id}", e.releaseHolding).Methods(http.MethodDelete)
	r.HandleFunc("/platform/holdings/{id}/renew", e.renewHolding).Methods(http.MethodPost)
	r.HandleFunc("/platform/requests/{attempt}", e.cancelAttempt).Methods(http.MethodDelete)
	r.HandleFunc("/platform/orders", e.receiveOrder).Methods(http.MethodPost)
	r.HandleFunc("/platform/state", e.getState).Methods(http.MethodGet)
	r.HandleFunc("/platform/kv/{attempt}", e.exportKV).Methods(http.MethodGet)
	r.HandleFunc("/platform/kv/{attempt}", e.importKV).Methods(http.MethodPut)
	r.HandleFunc("/standin/totals", e.getTotals).Methods(http.MethodGet)
	if e.config.Options.Admin {
		r.Handle("/standin/faults", e.faults).Methods(http.MethodPost, http.MethodDelete)
	}
	return r
}

// Run runs the engine until ctx is done, and waits for the weight loads in progress.
func (e *Engine) Run(ctx context.Context) {
	e.mu.Lock()
	e.background = ctx
	e.mu.Unlock()
	e.model.Run(ctx)
	e.pendingLoads.Wait()
}

// Drain refuses new requests.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.model.Drain(true)
}

// Active returns the number of requests in progress.
func (e *Engine) Active() int {
	return int(e.inFlight.Load())
}

// Announcement returns the announcement without the fields that the node fills in.
func (e *Engine) Announcement() endpoint.Announcement {
	state := e.platformState()
	announcement := endpoint.Announcement{
		Type:          endpoint.Engine,
		Models:        state.Models,
		Version:       state.Version,
		Adapters:      state.Adapters,
		Memory:        state.Memory,
		Role:          state.Role,
		ChecksFencing: e.config.Options.ChecksFencing,
		Load:          e.model.Load(),
		CacheEvents:   e.model.CacheEvents(maxCacheEvents),
	}
	if state.Loading {
		announcement.State = endpoint.Draining
	}
	return announcement
}

func (e *Engine) platformState() endpoint.PlatformState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Used, state.Memory = e.model.Used()
	return state
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.platformState())
}

func (e *Engine) getTotals(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.model.Totals())
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	payload, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(payload)
}

// httpStatuses maps the errors of the model to HTTP statuses.
var httpStatuses = map[model.Kind]int{
	model.TooLarge:  http.StatusRequestEntityTooLarge,
	model.NoMemory:  http.StatusConflict,
	model.Unknown:   http.StatusNotFound,
	model.Duplicate: http.StatusConflict,
	model.Draining:  http.StatusServiceUnavailable,
	model.Cancelled: http.StatusGatewayTimeout,
}

// writeError writes an error of the model as the response.
func writeError(w http.ResponseWriter, err error, outcome refusal.Outcome) {
	errorResponse(err, outcome).Write(w)
}

// errorResponse converts an error of the model to the error of a response.
func errorResponse(err error, outcome refusal.Outcome) refusal.Error {
	status, code := http.StatusInternalServerError, "engine-error"
	var e *model.Error
	if errors.As(err, &e) {
		status, code = httpStatuses[e.Kind], string(e.Kind)
	}
	return refusal.New(status, code, outcome, "%s", err.Error())
}

// writeSubmitError writes an error of Submit as the response. An expired holding is not an error of the request,
// so its status is one that allows a retry.
func writeSubmitError(w http.ResponseWriter, err error) {
	if fault.Is(err, model.Unknown) {
		refusal.New(http.StatusServiceUnavailable, "unknown-holding", refusal.DidNotRun, "%s", err.Error()).Write(w)
		return
	}
	writeError(w, err, refusal.DidNotRun)
}
