package cli

import (
	"context"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/completion"
	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/entryd/internal/service"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Kind classifies an Error.
type Kind string

const (
	// Listen means that an address could not be listened on.
	Listen Kind = "listen"
	// Incomplete means that the program lacks a part.
	Incomplete Kind = "incomplete"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Keeper holds the session with the control leader, as session.Keeper does.
type Keeper interface {
	View() (session.View, error)
	Drain()
}

// Parts are what serve connects to the caller's API.
type Parts struct {
	Keeper   Keeper
	Claims   service.Claims
	Purse    completion.Purse
	Observer completion.Observer
	// Dispatcher is served to the other entries as Dispatch.
	Dispatcher cell.Dispatcher
	// Runs are the background loops of the parts. Their contexts end, in this order, after the last
	// request; each must return before the next one is ended.
	Runs []func(ctx context.Context) error
}

// Site is what the parts need to know of this process.
type Site struct {
	Options *options.Options
	Member  session.Member
	Pool    *peer.Pool
	Metrics *metrics.Registry
	Logger  *zap.Logger
}

// Connector makes the parts.
type Connector func(site Site) (Parts, error)

// Connect makes the parts of the running system.
func Connect(Site) (Parts, error) {
	return Parts{}, fault.New("connect parts", Incomplete, "this build has no control client and no dispatcher")
}
