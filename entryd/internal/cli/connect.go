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
	// Listen means that the process cannot listen on an address.
	Listen Kind = "listen"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// ControlSession maintains the session with the control leader. session.Client implements it.
type ControlSession interface {
	View() (session.View, error)
	Drain()
}

// Components are the parts of an entry that serve connects to the callers' API.
type Components struct {
	Session  ControlSession
	Claims   service.Claims
	Budget   completion.Budget
	Observer completion.Observer
	// Dispatcher also serves the other entries, as the net/rpc service Dispatch.
	Dispatcher cell.Dispatcher
	// Burn serves the service-level report to the control instances; nil disables it.
	Burn *burn.Service
	// Loops are the background loops of the components. After the last request they are stopped in this
	// order; each has returned before the context of the next one is cancelled.
	Loops []func(ctx context.Context) error
}

// ComponentConfig holds what the components need from this process.
type ComponentConfig struct {
	Options *options.Options
	Member  session.Member
	Pool    *peer.Pool
	// EndpointTLS is the configuration of connections to endpoints; nil means plain connections.
	EndpointTLS *tls.Config
	Metrics     *metrics.Registry
	Logger      *zap.Logger
}

// ComponentFactory creates the components.
type ComponentFactory func(config ComponentConfig) (Components, error)

// NewComponents creates the components that entryd runs with; tests use others.
func NewComponents(config ComponentConfig) (Components, error) {
	client := control.NewClient(control.ClientConfig{Addresses: config.Options.Control, Caller: config.Pool})
	sessionClient := session.NewClient(session.ClientConfig{Member: config.Member, Leader: client, Logger: config.Logger})
	localBudget := ledger.NewLocalBudget(ledger.LocalBudgetConfig{
		Entry:       config.Member.Instance,
		Incarnation: config.Member.Incarnation,
		Client:      client,
		Logger:      config.Logger,
	})
	dispatcher := newDispatcher(config, client, sessionClient)
	recorder := burn.NewRecorder(burn.Config{Objectives: config.Options.BurnObjectives(), Now: time.Now})
	return Components{
		Session:    sessionClient,
		Claims:     client,
		Budget:     budgetAdapter{localBudget},
		Observer:   recorder,
		Burn:       burn.NewService(recorder),
		Dispatcher: dispatcher.Service(),
		Loops:      []func(context.Context) error{dispatcher.Run, localBudget.Run, sessionClient.Run},
	}, nil
}

// quarantineTimeout limits the call that records a quarantined request at the control quorum.
const quarantineTimeout = 10 * time.Second

// shareCrashTimeout limits the call that tells another cell of a crash.
const shareCrashTimeout = time.Second

func newDispatcher(config ComponentConfig, client *control.Client, sessionClient *session.Client) *dispatch.Dispatcher {
	var dispatcher *dispatch.Dispatcher
	dispatcher = dispatch.New(dispatch.Config{
		Instance: config.Member.Instance,
		Owns: func(cell string) bool {
			view, _ := sessionClient.View()
			member, ok := view.Dispatcher(cell)
			return ok && member.Instance == config.Member.Instance
		},
		CellCount: func(first string) int {
			view, _ := sessionClient.View()
			return view.Cells(first)
		},
		SendShare: func(request dispatch.ShareRequest) {
			view, _ := sessionClient.View()
			target, ok := view.Dispatcher(request.Cell)
			if !ok {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), shareCrashTimeout)
			defer cancel()
			if target.Instance == config.Member.Instance {
				_ = dispatcher.Share(ctx, request)
				return
			}
			err := config.Pool.Call(ctx, target.Peer, dispatch.ServiceName+".Share", request, &dispatch.ShareReply{})
			if err != nil {
				config.Logger.Warn("Could not report a crash to another cell", zap.String("cell", request.Cell), zap.Error(err))
			}
		},
		Holdings: endpoint.NewClient(endpoint.ClientConfig{TLS: config.EndpointTLS}),
		Settings: config.Options.DispatchSettings(),
		Logger:   config.Logger,
		Quarantined: func(fingerprint uint64) bool {
			view, _ := sessionClient.View()
			return view.Quarantined[fingerprint]
		},
		OnQuarantine: func(fingerprint uint64) {
			ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
			defer cancel()
			err := client.Quarantine(ctx, control.QuarantineRequest{Fingerprint: fingerprint})
			if err != nil {
				config.Logger.Error("Could not record a quarantined request", zap.Error(err))
			}
		},
		EndpointDrained: func(endpoint, dataCentre string) bool {
			view, _ := sessionClient.View()
			return view.Configuration.Drained(endpoint, dataCentre)
		},
	})
	return dispatcher
}

// budgetAdapter makes a ledger.LocalBudget a completion.Budget, whose Reserve returns an interface.
type budgetAdapter struct {
	localBudget *ledger.LocalBudget
}

func (a budgetAdapter) Reserve(ctx context.Context, workspace string, limit, amount int64) (completion.Hold, error) {
	hold, err := a.localBudget.Reserve(ctx, workspace, limit, amount)
	if err != nil {
		return nil, err
	}
	return hold, nil
}
