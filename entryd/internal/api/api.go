// Package api serves the HTTP APIs of an entry: one for callers and one for endpoints.
package api

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/address"
	"github.com/dandelionpier/dandelionpier/entryd/internal/completion"
	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/entryd/internal/filter"
	"github.com/dandelionpier/dandelionpier/entryd/internal/service"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Config configures the callers' API.
type Config struct {
	Instance    string
	View        func() (session.View, error)
	Draining    func() bool
	Addresses   *address.Selector
	Completions *completion.Server
	Services    *service.Server
	Limiter     filter.Limiter
	Metrics     *metrics.Registry
	Access      *zap.Logger

	MaxBody          int64
	DefaultTimeLimit time.Duration
	MaxTimeLimit     time.Duration
	MaxInFlight      int
}

type server struct {
	config Config
}

// New returns the handler of the callers' API.
func New(config Config) http.Handler {
	s := &server{config: config}
	authenticated := []filter.Filter{
		filter.BodyLimit(config.MaxBody),
		filter.TimeLimit(config.DefaultTimeLimit, config.MaxTimeLimit),
		filter.Authenticate(config.View),
	}
	limited := append(slices.Clone(authenticated),
		filter.RequireLease(config.View, s.otherAddresses),
		filter.RateLimit(config.Limiter),
		filter.InFlightLimit(config.MaxInFlight))
	record := filter.Instrument(filter.InstrumentConfig{Access: config.Access, Metrics: config.Metrics, Draining: config.Draining})
	handle := func(handler filter.Handler, filters []filter.Filter) http.Handler {
		return record(filter.Chain(handler, filters...))
	}

	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle(completion.ChatPath, handle(s.serveCompletion, limited)).Methods(http.MethodPost)
	router.Handle(completion.TextPath, handle(s.serveCompletion, limited)).Methods(http.MethodPost)
	router.Handle("/v1/models", handle(s.listModels, limited)).Methods(http.MethodGet)
	router.Handle("/v1/addresses", handle(s.listAddresses, authenticated)).Methods(http.MethodGet)
	router.Handle("/v1/services/{service}", handle(s.serveCall, limited))
	router.Handle("/v1/services/{service}/{path:.*}", handle(s.serveCall, limited))
	router.NotFoundHandler = handle(notFound, nil)
	router.MethodNotAllowedHandler = handle(methodNotAllowed, nil)
	return router
}

func notFound(_ http.ResponseWriter, r *http.Request, _ *exchange.Exchange) error {
	return refusal.New(http.StatusNotFound, "path-not-found", refusal.DidNotRun, "The path %.128q does not exist.", r.URL.Path)
}

func methodNotAllowed(_ http.ResponseWriter, r *http.Request, _ *exchange.Exchange) error {
	return refusal.New(http.StatusMethodNotAllowed, "method-not-allowed", refusal.DidNotRun,
		"The path %.128q does not take the method %.16q.", r.URL.Path, r.Method)
}

func (s *server) serveCompletion(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
	body, err := s.receiveBody(w, r, x)
	if err != nil {
		return err
	}
	return s.config.Completions.Serve(r.Context(), w, r.URL.Path, x, body)
}

func (s *server) serveCall(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
	body, err := s.receiveBody(w, r, x)
	if err != nil {
		return err
	}
	response, err := s.config.Services.Serve(r.Context(), x, service.Call{
		Service: mux.Vars(r)["service"],
		Method:  r.Method,
		Path:    servicePath(r),
		Header:  r.Header,
		Body:    body,
	})
	if err != nil {
		return err
	}
	x.Committed, x.Status, x.FirstToken = true, response.Status, time.Since(x.Start)
	h := w.Header()
	if response.ContentType != "" {
		h.Set("Content-Type", response.ContentType)
	}
	if response.Replayed {
		h.Set("Idempotent-Replay", "true")
	}
	h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
	return nil
}

// servicePath returns the path after the service's name, escaped as the caller sent it, and the query.
func servicePath(r *http.Request) string {
	serviceAndPath := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/")
	_, path, _ := strings.Cut(serviceAndPath, "/")
	path = "/" + path
	if r.URL.RawQuery != "" || r.URL.ForceQuery {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// receiveBody reads the body and then checks the request again under the current configuration.
func (s *server) receiveBody(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) ([]byte, error) {
	body, err := readBody(w, r, x.Deadline)
	if err != nil {
		return nil, err
	}
	x.BodyRead = true
	return body, filter.Revalidate(s.config.View, x)
}

// readBody reads the body into one buffer. With a Content-Length, the buffer has exactly that size.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline)
	body, err := readAll(r)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// net/http keeps reading from the connection to detect that the caller disconnects; clear the deadline.
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, refusal.New(http.StatusRequestEntityTooLarge, "body-too-large", refusal.DidNotRun,
			"The body has more than %d bytes.", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal.New(http.StatusRequestTimeout, "time-limit", refusal.DidNotRun, "The time limit passed before the body had arrived.")
	default:
		return nil, refusal.New(http.StatusBadRequest, "body-incomplete", refusal.DidNotRun, "The body could not be read to its end.")
	}
}

func readAll(r *http.Request) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (s *server) listModels(w http.ResponseWriter, _ *http.Request, x *exchange.Exchange) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range slices.Sorted(maps.Keys(x.View.Configuration.Models)) {
		if slices.Contains(x.Workspace.Models, name) {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "dandelionpier"})
			for _, adapter := range x.View.Configuration.Models[name].Adapters {
				list.Data = append(list.Data, model{ID: adapter, Object: "model", OwnedBy: "dandelionpier"})
			}
		}
	}
	writeJSON(w, x, list)
	return nil
}

// Addresses is the response to GET /v1/addresses.
type Addresses struct {
	// Addresses lists entries in the order in which to try them.
	Addresses []Address `json:"addresses"`
	// TTL is how many seconds the response may be used.
	TTL int `json:"ttl-seconds"`
}

// Address locates one entry.
type Address struct {
	// Address is host:port.
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
}

func (s *server) listAddresses(w http.ResponseWriter, _ *http.Request, x *exchange.Exchange) error {
	view, err := s.config.View()
	response := Addresses{Addresses: []Address{}, TTL: int(address.TTL / time.Second)}
	exclude := ""
	if err != nil || s.config.Draining() {
		exclude = s.config.Instance
	}
	for _, member := range s.config.Addresses.Select(x.Workspace.Name, view.Members, exclude) {
		response.Addresses = append(response.Addresses, Address{Address: member.Caller, DataCentre: member.DataCentre})
	}
	writeJSON(w, x, response)
	return nil
}

// otherAddresses returns the addresses of other entries, which a refused caller should use instead.
func (s *server) otherAddresses(view session.View) []string {
	var addresses []string
	for _, member := range s.config.Addresses.Select(s.config.Instance, view.Members, s.config.Instance) {
		addresses = append(addresses, member.Caller)
	}
	return addresses
}

func writeJSON(w http.ResponseWriter, x *exchange.Exchange, value any) {
	x.Committed, x.Status = true, http.StatusOK
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
