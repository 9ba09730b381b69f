package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// silentAfter is how long an endpoint is not heard of before it is taken off the list. Check-ins may come
// seconds late, and an endpoint that only the control instances cannot reach still serves; entries find out
// about a dead one by themselves.
const silentAfter = 15 * time.Second

// presence is when the leader last heard of each endpoint. It lives in memory only.
type presence struct {
	mu   sync.Mutex
	term uint64
	seen map[string]time.Time
}

// hear notes a check-in.
func (p *presence) hear(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = make(map[string]time.Time)
	}
	p.seen[id] = now
}

// silent returns the endpoints that have not been heard of for silentAfter. In a new term all count as heard
// of just now.
func (p *presence) silent(term uint64, records []registration.Record, now time.Time) []registration.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[string]time.Time, len(records))
	var silent []registration.Record
	for _, r := range records {
		last, ok := p.seen[r.ID]
		if !ok || p.term != term {
			last = now
		}
		seen[r.ID] = last
		if now.Sub(last) > silentAfter {
			silent = append(silent, r)
		}
	}
	p.term, p.seen = term, seen
	return silent
}

type declarationService struct{ *Service }

// Declare commits a document and answers once it is committed.
func (s *declarationService) Declare(request DeclareRequest, reply *DeclareReply) error {
	result, ok := propose[DeclareReply](s.Service, Command{Declare: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leader()
		return nil
	}
	*reply = result
	s.config.Logger.Info("Committed a declaration",
		zap.Uint64("version", request.Document.Version), zap.Uint64("in-force", result.Version))
	return nil
}

// Document returns the newest committed document.
func (s *declarationService) Document(_ DocumentRequest, reply *DocumentReply) error {
	if _, ok := s.current(); !ok {
		reply.NotLeader, reply.Leader = true, s.leader()
		return nil
	}
	reply.Document = s.config.Machine.Document()
	return nil
}

type registrationService struct{ *Service }

// Register takes what an endpoint says of itself. Only what is new is committed.
func (s *registrationService) Register(request RegisterRequest, reply *RegisterReply) error {
	if _, ok := s.leads(); !ok {
		reply.NotLeader, reply.Leader = true, s.leader()
		return nil
	}
	if request.CheckIn != nil {
		s.presence.hear(request.CheckIn.ID, time.Now())
	}
	if !s.config.Machine.EndpointNews(request) {
		return nil
	}
	if _, ok := propose[RegisterReply](s.Service, Command{Register: &request}); !ok {
		reply.NotLeader, reply.Leader = true, s.leader()
		return nil
	}
	s.logRegistration(request)
	return nil
}

func (s *Service) logRegistration(request RegisterRequest) {
	if r := request.CheckIn; r != nil {
		s.config.Logger.Info("Registered an endpoint", zap.String(logging.Endpoint, r.ID), zap.String("address", r.Address),
			zap.String("service", r.Service), zap.String("state", string(r.State)), zap.Uint64("sequence", r.Sequence))
	}
	if d := request.Depart; d != nil {
		s.config.Logger.Info("An endpoint departed", zap.String(logging.Endpoint, d.ID), zap.Bool("silent", d.Silent))
	}
}

// Suspect notes that an endpoint died while it ran a request.
func (s *registrationService) Suspect(request SuspectRequest, reply *SuspectReply) error {
	result, ok := propose[SuspectReply](s.Service, Command{Suspect: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leader()
		return nil
	}
	*reply = result
	if result.Quarantined {
		s.config.Logger.Warn("Quarantined a request that crashes endpoints", zap.Uint64("fingerprint", request.Fingerprint))
	}
	return nil
}

// dropSilent takes endpoints off the list that have not been heard of for long.
func (s *Service) dropSilent(term uint64, now time.Time) {
	for _, r := range s.presence.silent(term, s.config.Machine.Endpoints(), now) {
		request := RegisterRequest{Depart: &registration.Departure{ID: r.ID, Started: r.Started, Silent: true}}
		if _, ok := propose[RegisterReply](s, Command{Register: &request}); ok {
			s.logRegistration(request)
		}
	}
}

// Declare commits a document.
func (c *Client) Declare(ctx context.Context, request DeclareRequest) (DeclareReply, error) {
	return call[DeclareReply](ctx, c, "Declarations.Declare", request, attemptTimeout)
}

// Document returns the newest committed document.
func (c *Client) Document(ctx context.Context) (DocumentReply, error) {
	return call[DocumentReply](ctx, c, "Declarations.Document", DocumentRequest{}, attemptTimeout)
}

// Register takes what an endpoint says of itself.
func (c *Client) Register(ctx context.Context, request RegisterRequest) (RegisterReply, error) {
	return call[RegisterReply](ctx, c, "Registrations.Register", request, attemptTimeout)
}

// Suspect reports that an endpoint died while it ran a request.
func (c *Client) Suspect(ctx context.Context, request SuspectRequest) (SuspectReply, error) {
	return call[SuspectReply](ctx, c, "Registrations.Suspect", request, attemptTimeout)
}
