package cli

import (
	"context"
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/entryd/internal/cell"
	"github.com/dandelionpier/dandelionpier/entryd/internal/completion"
	"github.com/dandelionpier/dandelionpier/entryd/internal/options"
	"github.com/dandelionpier/dandelionpier/entryd/internal/service"
	"github.com/dandelionpier/dandelionpier/internal/burn"
	"github.com/dandelionpier/dandelionpier/internal/control"
	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/metrics"
	"github.com/dandelionpier/dandelionpier/internal/peer"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Kind classifies an Error.
type Kind string

const (
	// Listen means that an address could not be listened on.
	Listen Kind = "listen"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Keeper holds the session with the control leader, as session.Client does.
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
	// Burn answers operators who ask for the service-level report; nil means that there is none.
	Burn *burn.Service
	// Runs are the background loops of the parts. Their contexts end, in this order, after the last
	// request; each must return before the next one is ended.
	Runs []func(ctx context.Context) error
}

// Site is what the parts need to know of this process.
type Site struct {
	Options *options.Options
	Member  session.Member
	Pool    *peer.Pool
	// EndpointTLS is the configuration of connections to endpoints; nil means that they are plain.
	EndpointTLS *tls.Config
	Metrics     *metrics.Registry
	Logger      *zap.Logger
}

// Connector makes the parts.
type Connector func(site Site) (Parts, error)

// Connect makes the parts of the running system.
func Connect(site Site) (Parts, error) {
	client := control.NewClient(control.ClientConfig{Addresses: site.Options.Control, Caller: site.Pool})
	keeper := session.NewClient(session.ClientConfig{Member: site.Member, Leader: client, Logger: site.Logger})
	purse := ledger.NewLocalBudget(ledger.LocalBudgetConfig{
		Entry:       site.Member.Instance,
		Incarnation: site.Member.Incarnation,
		Client:      client,
		Logger:      site.Logger,
	})
	dispatcher := newDispatcher(site, client, keeper)
	recorder := burn.NewRecorder(burn.Config{Objectives: site.Options.BurnObjectives(), Now: time.Now})
	return Parts{
		Keeper:     keeper,
		Claims:     client,
		Purse:      purseAdapter{purse},
		Observer:   recorder,
		Burn:       burn.NewService(recorder),
		Dispatcher: dispatcher.Service(),
		Runs:       []func(context.Context) error{dispatcher.Run, purse.Run, keeper.Run},
	}, nil
}

// quarantineTimeout bounds the report of a request that crashes endpoints.
const quarantineTimeout = 10 * time.Second

// shareTimeout bounds one message on a crash to another cell.
const shareTimeout = time.Second

func newDispatcher(site Site, client *control.Client, keeper *session.Client) *dispatch.Dispatcher {
	var dispatcher *dispatch.Dispatcher
	dispatcher = dispatch.New(dispatch.Config{
		Instance: site.Member.Instance,
		Owns: func(cell string) bool {
			view, _ := keeper.View()
			member, ok := view.Dispatcher(cell)
			return ok && member.Instance == site.Member.Instance
		},
		CellCount: func(first string) int {
			view, _ := keeper.View()
			return view.Cells(first)
		},
		SendShare: func(request dispatch.ShareRequest) {
			view, _ := keeper.View()
			target, ok := view.Dispatcher(request.Cell)
			if !ok {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
			defer cancel()
			if target.Instance == site.Member.Instance {
				_ = dispatcher.Share(ctx, request)
				return
			}
			err := site.Pool.Call(ctx, target.Peer, dispatch.ServiceName+".Share", request, &dispatch.ShareReply{})
			if err != nil {
				site.Logger.Warn("Could not tell another cell of a crash", zap.String("cell", request.Cell), zap.Error(err))
			}
		},
		Holdings: endpoint.NewClient(endpoint.ClientConfig{TLS: site.EndpointTLS}),
		Settings: site.Options.DispatchSettings(),
		Logger:   site.Logger,
		Quarantined: func(fingerprint uint64) bool {
			view, _ := keeper.View()
			return view.Quarantined[fingerprint]
		},
		OnQuarantine: func(fingerprint uint64) {
			ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
			defer cancel()
			err := client.Quarantine(ctx, control.QuarantineRequest{Fingerprint: fingerprint})
			if err != nil {
				site.Logger.Error("Could not record a quarantined request", zap.Error(err))
			}
		},
		EndpointDrained: func(endpoint string) bool {
			view, _ := keeper.View()
			return view.Configuration.Endpoints[endpoint].Drain
		},
	})
	return dispatcher
}

// purseAdapter returns holds as the interface that package completion declares.
type purseAdapter struct {
	purse *ledger.LocalBudget
}

func (a purseAdapter) Reserve(ctx context.Context, workspace string, limit, amount int64) (completion.Hold, error) {
	hold, err := a.purse.Reserve(ctx, workspace, limit, amount)
	if err != nil {
		return nil, err
	}
	return hold, nil
}
