// Package api is the HTTP interface to callers and endpoints.
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

// Config sets up the callers' API.
type Config struct {
	Instance    string
	View        func() (session.View, error)
	Draining    func() bool
	Addresses   *address.Book
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
	known := []filter.Filter{
		filter.BodyLimit(config.MaxBody),
		filter.TimeLimit(config.DefaultTimeLimit, config.MaxTimeLimit),
		filter.Authenticate(config.View),
	}
	admitted := append(slices.Clone(known),
		filter.Lease(config.View, s.others),
		filter.RateLimit(config.Limiter),
		filter.InFlight(config.MaxInFlight))
	record := filter.Record(filter.RecordConfig{Access: config.Access, Metrics: config.Metrics, Draining: config.Draining})
	handle := func(handler filter.Handler, filters []filter.Filter) http.Handler {
		return record(filter.Chain(handler, filters...))
	}

	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle(completion.ChatPath, handle(s.complete, admitted)).Methods(http.MethodPost)
	router.Handle(completion.TextPath, handle(s.complete, admitted)).Methods(http.MethodPost)
	router.Handle("/v1/models", handle(s.models, admitted)).Methods(http.MethodGet)
	router.Handle("/v1/addresses", handle(s.addresses, known)).Methods(http.MethodGet)
	router.Handle("/v1/services/{service}", handle(s.call, admitted))
	router.Handle("/v1/services/{service}/{path:.*}", handle(s.call, admitted))
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

func (s *server) complete(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
	body, err := s.receive(w, r, x)
	if err != nil {
		return err
	}
	return s.config.Completions.Serve(r.Context(), w, r.URL.Path, x, body)
}

func (s *server) call(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
	body, err := s.receive(w, r, x)
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

// servicePath is what follows the service's name, escaped as the caller sent it, with the query.
func servicePath(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/")
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// receive reads the body and admits the request under the configuration that is in force after it.
func (s *server) receive(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) ([]byte, error) {
	body, err := readBody(w, r, x.Deadline)
	if err != nil {
		return nil, err
	}
	x.BodyRead = true
	return body, filter.Readmit(s.config.View, x)
}

// readBody reads the body once. With a Content-Length the memory is exactly its size.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	body, err := readAll(r)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// The server goes on reading the connection to notice that the caller left.
		_ = control.SetReadDeadline(time.Time{})
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

func (s *server) models(w http.ResponseWriter, _ *http.Request, x *exchange.Exchange) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range slices.Sorted(maps.Keys(x.View.Configuration.Models)) {
		if slices.Contains(x.Workspace.Models, name) {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "dandelionpier"})
			for _, adapter := range x.View.Configuration.Models[name].Adapters {
				list.Data = append(list.Data, model{ID: adapter, Object: "model", OwnedBy: "dandelionpier"})
			}
		}
	}
	respond(w, x, list)
	return nil
}

// Addresses answers GET /v1/addresses.
type Addresses struct {
	// Addresses are entries, to be tried in order.
	Addresses []Address `json:"addresses"`
	// TTL is in seconds; a new answer is needed after it.
	TTL int `json:"ttl-seconds"`
}

// Address is one entry.
type Address struct {
	// Address is host:port.
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
}

func (s *server) addresses(w http.ResponseWriter, _ *http.Request, x *exchange.Exchange) error {
	view, err := s.config.View()
	answer := Addresses{Addresses: []Address{}, TTL: int(address.TTL / time.Second)}
	exclude := ""
	if err != nil || s.config.Draining() {
		exclude = s.config.Instance
	}
	for _, member := range s.config.Addresses.Pick(x.Workspace.Name, view.Members, exclude) {
		answer.Addresses = append(answer.Addresses, Address{Address: member.Caller, DataCentre: member.DataCentre})
	}
	respond(w, x, answer)
	return nil
}

// others are the addresses that a refused caller should use instead.
func (s *server) others(view session.View) []string {
	var addresses []string
	for _, member := range s.config.Addresses.Pick(s.config.Instance, view.Members, s.config.Instance) {
		addresses = append(addresses, member.Caller)
	}
	return addresses
}

func respond(w http.ResponseWriter, x *exchange.Exchange, value any) {
	x.Committed, x.Status = true, http.StatusOK
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
