package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// checkInTimeout is the time without a check-in after which an endpoint is removed from the list. It is long
// because check-ins can be seconds late, and because an endpoint that only the control instances cannot reach
// still serves requests; entries detect dead endpoints by themselves.
const checkInTimeout = 15 * time.Second

// checkInTracker tracks when the leader received the last check-in of each endpoint. It is neither
// replicated nor stored.
type checkInTracker struct {
	mu           sync.Mutex
	term         uint64
	lastCheckIns map[string]time.Time
	// coldUntil is when each cold endpoint is warm by its last check-in that was committed.
	coldUntil map[string]time.Time
}

// coldTolerance is by how much later an endpoint may become warm without a commit: check-ins of one endpoint take
// different times to arrive.
const coldTolerance = 300 * time.Millisecond

// warmsUpAsKnown reports whether a check-in of a cold endpoint agrees with those before.
func (t *checkInTracker) warmsUpAsKnown(r registration.Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.coldUntil[r.ID]
	return ok && !now.Add(r.Cold).After(until.Add(coldTolerance))
}

// recordCommitted records a check-in that was committed.
func (t *checkInTracker) recordCommitted(r registration.Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.coldUntil == nil {
		t.coldUntil = make(map[string]time.Time)
	}
	delete(t.coldUntil, r.ID)
	if r.Cold > 0 {
		t.coldUntil[r.ID] = now.Add(r.Cold)
	}
}

// record records the time of a check-in.
func (t *checkInTracker) record(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastCheckIns == nil {
		t.lastCheckIns = make(map[string]time.Time)
	}
	t.lastCheckIns[id] = now
}

// silent returns the endpoints without a check-in for checkInTimeout. In a new term the time starts anew for all
// endpoints, because the new leader does not know when they last checked in.
func (t *checkInTracker) silent(term uint64, records []registration.Record, now time.Time) []registration.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]time.Time, len(records))
	var silent []registration.Record
	for _, r := range records {
		last, ok := t.lastCheckIns[r.ID]
		if !ok || t.term != term {
			last = now
		}
		seen[r.ID] = last
		if now.Sub(last) > checkInTimeout {
			silent = append(silent, r)
		}
	}
	t.term, t.lastCheckIns = term, seen
	maps.DeleteFunc(t.coldUntil, func(id string, _ time.Time) bool { _, listed := seen[id]; return !listed })
	return silent
}

type declarationService struct{ *Service }

// Declare commits a document and replies once it is committed.
func (s *declarationService) Declare(request DeclareRequest, reply *DeclareReply) error {
	result, ok := propose[DeclareReply](s.Service, Command{Declare: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	*reply = result
	s.config.Logger.Info("Committed a declaration",
		zap.Uint64("version", request.Document.Version), zap.Uint64("in-force", result.Version))
	return nil
}

// Document returns the newest committed document.
func (s *declarationService) Document(_ DocumentRequest, reply *DocumentReply) error {
	if _, ok := s.readBarrier(); !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	reply.Document = s.config.Machine.Document()
	return nil
}

type registrationService struct{ *Service }

// Register handles the check-in or departure of an endpoint. It commits only what changes the list of endpoints.
func (s *registrationService) Register(request RegisterRequest, reply *RegisterReply) error {
	if _, ok := s.leads(); !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	if request.CheckIn != nil {
		if s.config.Machine.ContradictsEndpoint(*request.CheckIn) {
			// It is no sign of life of the endpoint.
			reply.Refused = true
			return nil
		}
		s.checkIns.record(request.CheckIn.ID, time.Now())
	}
	if !s.config.Machine.WouldChangeEndpoints(request) {
		return nil
	}
	received := time.Now()
	if r := request.CheckIn; r != nil && s.config.Machine.StaysCold(*r) && s.checkIns.warmsUpAsKnown(*r, received) {
		return nil
	}
	result, ok := propose[RegisterReply](s.Service, Command{Register: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	*reply = result
	if request.CheckIn != nil {
		s.checkIns.recordCommitted(*request.CheckIn, received)
	}
	s.logRegistration(request, result)
	return nil
}

func (s *Service) logRegistration(request RegisterRequest, result RegisterReply) {
	if r := request.CheckIn; r != nil {
		s.config.Logger.Info("Registered an endpoint", zap.String(logging.Endpoint, r.ID), zap.String("address", r.Address),
			zap.String("service", r.Service), zap.String("state", string(r.State)), zap.Duration("cold", r.Cold), zap.Uint64("sequence", r.Sequence))
	}
	if d := request.Depart; d != nil {
		s.config.Logger.Info("An endpoint departed", zap.String(logging.Endpoint, d.ID), zap.Bool("silent", d.Silent),
			zap.Bool("superseded", result.Superseded))
	}
}

// Suspect records that an endpoint died while it ran a request.
func (s *registrationService) Suspect(request SuspectRequest, reply *SuspectReply) error {
	result, ok := propose[SuspectReply](s.Service, Command{Suspect: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	*reply = result
	for _, b := range result.Blamed {
		s.config.Logger.Warn("A part of prompts is blamed for crashes", zap.String("part", b.Part), zap.String(logging.Endpoint, request.Endpoint),
			zap.Time("since", time.UnixMilli(b.Since)), zap.Time("from", time.UnixMilli(b.From)), zap.Time("until", time.UnixMilli(b.Until)))
	}
	if result.Quarantined {
		s.config.Logger.Warn("Quarantined a request that crashes endpoints", zap.Uint64("fingerprint", request.Fingerprint))
	}
	return nil
}

// ClearPart records that an engine has written on a part of prompts. Nothing is committed for a part that is not
// blamed.
func (s *registrationService) ClearPart(request ClearPartRequest, reply *ClearPartReply) error {
	if _, ok := s.leads(); !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	blames, _ := s.config.Machine.Blames(time.Now().UnixMilli())
	if !slices.ContainsFunc(blames, func(b crash.Blame) bool { return b.Part == request.Part }) {
		return nil
	}
	result, ok := propose[ClearPartReply](s.Service, Command{ClearPart: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	*reply = result
	if result.Cleared {
		s.config.Logger.Info("Cleared a part of prompts", zap.String("part", request.Part))
	}
	return nil
}

// removeSilent removes endpoints that have not checked in for checkInTimeout from the list.
func (s *Service) removeSilent(term uint64, now time.Time) {
	for _, r := range s.checkIns.silent(term, s.config.Machine.Endpoints(), now) {
		request := RegisterRequest{Depart: &registration.Departure{ID: r.ID, Started: r.Started, Silent: true}}
		if result, ok := propose[RegisterReply](s, Command{Register: &request}); ok {
			s.logRegistration(request, result)
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

// Register reports the check-in or departure of an endpoint.
func (c *Client) Register(ctx context.Context, request RegisterRequest) (RegisterReply, error) {
	return call[RegisterReply](ctx, c, "Registrations.Register", request, attemptTimeout)
}

// ReportCrash reports that an endpoint died while it ran a request. The parts are those of an engine that had not begun
// to write.
func (c *Client) ReportCrash(ctx context.Context, report crash.Report, fingerprint uint64) error {
	request := SuspectRequest{Fingerprint: fingerprint, Endpoint: report.Endpoint, Started: report.Started, Parts: report.Parts}
	if s := report.Stream; s != nil {
		request.Stream = &CutStream{SentAgo: time.Since(s.Sent), EndedAgo: time.Since(s.Ended)}
	}
	_, err := call[SuspectReply](ctx, c, "Registrations.Suspect", request, attemptTimeout)
	return err
}

// ClearPart reports that an engine has written on a part of prompts since the first crash that it is blamed for.
func (c *Client) ClearPart(ctx context.Context, part string) error {
	_, err := call[ClearPartReply](ctx, c, "Registrations.ClearPart", ClearPartRequest{Part: part}, attemptTimeout)
	return err
}
