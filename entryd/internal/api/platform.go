package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/address"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Kind classifies an Error.
type Kind string

// Invalid means that an announcement is malformed or has values out of range.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Announcer receives valid announcements. cell.Client implements it.
type Announcer interface {
	Announce(a endpoint.Announcement)
}

// PlatformConfig configures the endpoints' API.
type PlatformConfig struct {
	Instance        string
	View            func() (session.View, error)
	Draining        func() bool
	Addresses       *address.Selector
	Announcer       Announcer
	MaxAnnouncement int64
	Logger          *zap.Logger
}

type platform struct {
	config PlatformConfig
}

// NewPlatform returns the handler of the endpoints' API.
func NewPlatform(config PlatformConfig) http.Handler {
	p := &platform{config: config}
	router := mux.NewRouter()
	router.HandleFunc("/platform/announce", p.announce).Methods(http.MethodPost)
	return router
}

func (p *platform) announce(w http.ResponseWriter, r *http.Request) {
	a, err := decodeAnnouncement(http.MaxBytesReader(w, r.Body, p.config.MaxAnnouncement))
	if err != nil {
		p.config.Logger.Info("Refused an announcement", zap.String("peer", r.RemoteAddr), zap.Error(err))
		refusal.New(http.StatusBadRequest, "invalid-announcement", refusal.DidNotRun, "%s", err.Error()).Write(w)
		return
	}
	p.config.Announcer.Announce(a)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(endpoint.AnnounceReply{Addresses: p.nextAddresses(a)})
}

// nextAddresses returns the entries to which the endpoint should send its next announcements: the dispatcher
// of its first cell, so that they need no forwarding, and fallbacks for when that one does not respond. An
// entry leaves itself out while it drains or has no lease. Without a lease its member list is outdated, so the
// announcements that it forwards would not reach the dispatchers that the other entries choose.
func (p *platform) nextAddresses(a endpoint.Announcement) []string {
	view, err := p.config.View()
	exclude := ""
	if err != nil || p.config.Draining() {
		exclude = p.config.Instance
	}
	addresses := []string{}
	if len(a.Models) > 0 {
		dispatcher, ok := view.Dispatcher(view.CellOf(a.Models[0], a.Region, a.Name))
		if ok && dispatcher.Instance != exclude {
			addresses = append(addresses, dispatcher.Platform)
		}
	}
	for _, member := range p.config.Addresses.Select(a.Name, view.Members, exclude) {
		if !slices.Contains(addresses, member.Platform) {
			addresses = append(addresses, member.Platform)
		}
	}
	return addresses
}

func decodeAnnouncement(source io.Reader) (endpoint.Announcement, error) {
	const op = "read announcement"
	var a endpoint.Announcement
	data, err := io.ReadAll(source)
	if err != nil {
		return a, fault.Wrap(err, op, Invalid, "read body")
	}
	// Unknown fields are allowed: engines may announce more than this system uses.
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&a); err != nil {
		return a, fault.Wrap(err, op, Invalid, "decode")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return a, fault.New(op, Invalid, "data follows the announcement")
	}
	return a, validate(a)
}

const (
	maxNameBytes = 256
	maxModels    = 256
)

func validate(a endpoint.Announcement) error {
	const op = "check announcement"
	for field, value := range map[string]string{
		"name": a.Name, "incarnation": a.Incarnation, "data-centre": a.DataCentre, "region": a.Region,
	} {
		if value == "" || len(value) > maxNameBytes {
			return fault.New(op, Invalid, "%s must have 1 to %d bytes", field, maxNameBytes)
		}
	}
	switch {
	case !isHostPort(a.Address):
		return fault.New(op, Invalid, "address %.64q is not host:port", a.Address)
	case a.Type != endpoint.Engine && a.Type != endpoint.Service:
		return fault.New(op, Invalid, "type %.64q is not engine or service", a.Type)
	case a.State != endpoint.Ready && a.State != endpoint.Draining && a.State != endpoint.Leaving:
		return fault.New(op, Invalid, "state %.64q is not ready, draining or leaving", a.State)
	case len(a.Models) > maxModels:
		return fault.New(op, Invalid, "models has %d entries; at most %d are allowed", len(a.Models), maxModels)
	case a.Type == endpoint.Engine && a.Memory <= 0:
		return fault.New(op, Invalid, "memory is %d; an engine must have some", a.Memory)
	}
	for _, model := range a.Models {
		if model == "" || len(model) > maxNameBytes {
			return fault.New(op, Invalid, "a model's name must have 1 to %d bytes", maxNameBytes)
		}
	}
	return validateLoad(a.Load)
}

func validateLoad(l endpoint.Load) error {
	smallest := min(l.QueuedPrefill, l.Running, l.Queued, l.Used, l.Cached)
	if smallest < 0 || l.PrefillRate < 0 || l.DecodeRate < 0 {
		return fault.New("check announcement", Invalid, "load has a negative figure")
	}
	return nil
}

func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.Atoi(port)
	return err == nil && portErr == nil && host != "" && n > 0 && n < 1<<16
}
