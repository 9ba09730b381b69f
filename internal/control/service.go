package control

import (
	"context"
	"crypto/sha256"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/claim"
	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/ledger"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

func hash(data []byte) []byte {
	sum := sha256.Sum256(data)
	return sum[:]
}

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, command []byte) (any, error)
	// Read returns once the state machine reflects every command committed before the call.
	Read(ctx context.Context) error
	// LeaderLease is 0 on an instance that does not lead.
	LeaderLease() (remaining time.Duration, term uint64)
	Leader() (id, address string, term uint64)
}

// Registrar registers net/rpc services, as peer.Server does.
type Registrar interface {
	Register(name string, receiver any) error
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Machine *Machine
	Log     Log
	// Voters describes the quorum for queries.
	Voters func() []Voter
	// ControlAddresses returns the peer addresses of the control instances that entries are sent; nil means
	// that entries use only those of their settings.
	ControlAddresses func() []string
	Logger           *zap.Logger
}

// Service handles the calls of entries and operators to the control quorum. Only the leader handles them;
// the other instances reply with its address.
type Service struct {
	config   ServiceConfig
	registry *session.Registry
	checkIns checkInTracker
}

const (
	// proposeTimeout bounds a commit; a healthy quorum needs milliseconds.
	proposeTimeout = 2 * time.Second
	readTimeout    = time.Second
	// inForceTimeout bounds how long an operator waits for a change to be in force: the time until a lease
	// has expired, and one more second.
	inForceTimeout = session.LeaseDuration + session.SkewAllowance + time.Second
	expireInterval = 200 * time.Millisecond
)

// NewService returns a Service. Register adds it to a peer server, and Run must be called to expire its sessions.
func NewService(config ServiceConfig) *Service {
	return &Service{config: config, registry: session.NewRegistry()}
}

// Register adds the net/rpc services Session, Claims, Ledger, Commands, Declarations and Registrations.
func (s *Service) Register(to Registrar) error {
	for name, receiver := range map[string]any{
		"Session":  &sessionService{s},
		"Claims":   &claimService{s},
		"Ledger":   &ledgerService{s},
		"Commands": &commandService{s},

		"Declarations":  &declarationService{s},
		"Registrations": &registrationService{s},
	} {
		if err := to.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

// Run removes expired sessions and silent endpoints while this instance leads, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if term, ok := s.leads(); ok {
				s.registry.Expire(now)
				s.removeSilent(term, now)
			}
		}
	}
}

// Members returns the entries that hold a session; it is empty on an instance that does not lead.
func (s *Service) Members() []session.Member {
	if _, ok := s.leads(); !ok {
		return nil
	}
	members, _ := s.registry.Members()
	return members
}

// leads returns the term, and whether this instance holds the leader lease. In a new term it resets the registry
// of sessions.
func (s *Service) leads() (uint64, bool) {
	remaining, term := s.config.Log.LeaderLease()
	if remaining <= 0 {
		return 0, false
	}
	s.registry.StartTerm(term, time.Now())
	return term, true
}

func (s *Service) leaderAddress() string {
	_, address, _ := s.config.Log.Leader()
	return address
}

// propose commits a command and returns the reply of the state machine. It returns false if this instance
// could not commit it; the caller may retry at another instance.
func propose[Reply any](s *Service, command Command) (Reply, bool) {
	var zero Reply
	if _, ok := s.leads(); !ok {
		return zero, false
	}
	command.Time = time.Now().UnixMilli()
	data, err := command.Encode()
	if err != nil {
		s.config.Logger.Error("Could not encode a command", zap.Error(err))
		return zero, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	result, err := s.config.Log.Propose(ctx, data)
	if err != nil {
		s.config.Logger.Info("Could not commit a command", zap.Error(err))
		return zero, false
	}
	reply, ok := result.(Reply)
	if !ok {
		s.config.Logger.Error("The state machine gave an unexpected reply", zap.Any("reply", result))
	}
	return reply, ok
}

// readBarrier waits until the state machine reflects every command committed before the call, and returns the
// term and whether this instance leads.
func (s *Service) readBarrier() (term uint64, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if err := s.config.Log.Read(ctx); err != nil {
		return 0, false
	}
	return s.leads()
}

type sessionService struct{ *Service }

// Heartbeat renews the lease of an entry.
func (s *sessionService) Heartbeat(request session.HeartbeatRequest, reply *session.HeartbeatReply) error {
	term, ok := s.readBarrier()
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	now := time.Now()
	instance := s.config.Machine.Configuration().Instances[request.Member.Instance]
	request.Member.Draining = request.Member.Draining || instance.Drain
	s.registry.Renew(request, now)
	reply.Term = term
	reply.Lease = session.LeaseDuration
	s.addRevisions(request, reply)
	s.registry.FillMembers(request.MembershipVersion, now, reply)
	reply.News = s.config.Machine.updateFor(request.Known, s.controlAddresses())
	quarantined := s.config.Machine.Quarantined(now.UnixMilli())
	if session.QuarantineVersion(quarantined) != request.QuarantineVersion {
		reply.Quarantined, reply.QuarantineChanged = quarantined, true
	}
	if blames, asOf := s.config.Machine.Blames(now.UnixMilli()); request.TracksBlames && crash.Version(blames) != request.BlameVersion {
		reply.Blames = &session.BlameUpdate{Blames: blames, AsOf: asOf}
	}
	return nil
}

// maxFirstRevisions is the number of revisions up to which an entry without a configuration is sent all of them with its
// first heartbeat. Above it, the whole configuration is smaller.
const maxFirstRevisions = 16

// addRevisions adds the revisions that the entry lacks, or tells it to fetch the whole configuration if they
// are no longer all kept.
func (s *sessionService) addRevisions(request session.HeartbeatRequest, reply *session.HeartbeatReply) {
	revisions, complete := s.config.Machine.Since(request.Revision)
	reply.Revision = request.Revision + uint64(len(revisions))
	current := s.config.Machine.Configuration().Revision
	if !complete || request.Revision == 0 && current > maxFirstRevisions {
		reply.FetchSnapshot = true
		reply.Revision = current
		return
	}
	reply.Revisions = revisions
}

// Snapshot returns one chunk of the encoded configuration.
func (s *sessionService) Snapshot(request session.SnapshotRequest, reply *session.SnapshotReply) error {
	if _, ok := s.readBarrier(); !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	revision, data, err := s.config.Machine.EncodedConfiguration()
	if err != nil {
		return err
	}
	reply.Revision = revision
	reply.Total = len(data)
	if request.Offset < 0 || request.Offset > len(data) || (request.Revision != 0 && request.Revision != revision) {
		return nil
	}
	reply.Data = data[request.Offset:min(len(data), request.Offset+session.MaxChunkBytes)]
	return nil
}

// Watch waits until the leader has state that the entry lacks, for at most session.WatchTimeout.
func (s *sessionService) Watch(request session.WatchRequest, reply *session.WatchReply) error {
	timeout := time.NewTimer(session.WatchTimeout)
	defer timeout.Stop()
	check := time.NewTicker(session.HeartbeatInterval)
	defer check.Stop()
	for {
		machineChanged, registryChanged := s.config.Machine.Changed(), s.registry.MembersChanged()
		if _, ok := s.leads(); !ok {
			reply.NotLeader, reply.Leader = true, s.leaderAddress()
			return nil
		}
		if s.stateDiffers(request) {
			reply.Changed = true
			return nil
		}
		select {
		case <-machineChanged:
		case <-registryChanged:
		case <-check.C:
		case <-timeout.C:
			return nil
		}
	}
}

// controlAddresses returns the peer addresses of the control instances that entries are sent.
func (s *Service) controlAddresses() []string {
	if s.config.ControlAddresses == nil {
		return nil
	}
	return s.config.ControlAddresses()
}

func (s *sessionService) stateDiffers(request session.WatchRequest) bool {
	machine := s.config.Machine
	return machine.Configuration().Revision != request.Revision ||
		machine.stateVersions(s.controlAddresses()) != request.Known ||
		s.registry.HasNews(request.MembershipVersion, time.Now()) ||
		session.QuarantineVersion(machine.Quarantined(time.Now().UnixMilli())) != request.QuarantineVersion ||
		s.blamesDiffer(request)
}

func (s *sessionService) blamesDiffer(request session.WatchRequest) bool {
	blames, _ := s.config.Machine.Blames(time.Now().UnixMilli())
	return request.TracksBlames && crash.Version(blames) != request.BlameVersion
}

type claimService struct{ *Service }

// Open claims an idempotency key.
func (s *claimService) Open(request claim.OpenRequest, reply *claim.OpenReply) error {
	result, ok := propose[claim.OpenReply](s.Service, Command{OpenClaim: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	*reply = result
	if reply.Status == claim.InProgress && !s.registry.HasSession(reply.Holder, time.Now()) {
		// The session of the holder has ended, so nobody will settle the claim.
		reply.Status = claim.Unknown
	}
	return nil
}

// Settle ends a claim.
func (s *claimService) Settle(request claim.SettleRequest, reply *claim.SettleReply) error {
	result, ok := propose[claim.SettleReply](s.Service, Command{SettleClaim: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	*reply = result
	return nil
}

type ledgerService struct{ *Service }

// Lease grants a lease on part of a workspace's budget.
func (s *ledgerService) Lease(request ledger.LeaseRequest, reply *ledger.LeaseReply) error {
	result, ok := propose[ledger.LeaseReply](s.Service, Command{LeaseBudget: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	*reply = result
	return nil
}

// Settle records what an entry has spent.
func (s *ledgerService) Settle(request ledger.SettleRequest, reply *ledger.SettleReply) error {
	if _, ok := propose[ledger.SettleReply](s.Service, Command{SettleBudget: &request}); !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
	}
	return nil
}

type commandService struct{ *Service }

// Quarantine makes all entries refuse a request for QuarantineTime.
func (s *commandService) Quarantine(request QuarantineRequest, reply *QuarantineReply) error {
	if _, ok := propose[QuarantineReply](s.Service, Command{Quarantine: &request}); !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
	}
	return nil
}

// Submit commits an operator's transaction and waits until it is in force.
func (s *commandService) Submit(request SubmitRequest, reply *SubmitReply) error {
	*reply = s.submit(request)
	return nil
}

func (s *Service) submit(request SubmitRequest) SubmitReply {
	if request.Check {
		if _, ok := s.readBarrier(); !ok {
			return SubmitReply{NotLeader: true, Leader: s.leaderAddress()}
		}
		return s.config.Machine.Check(request)
	}
	reply, ok := propose[SubmitReply](s, Command{Submit: &request})
	if !ok {
		return SubmitReply{NotLeader: true, Leader: s.leaderAddress()}
	}
	if reply.Status == Accepted {
		reply.InForce = s.awaitInForce(reply.Revision)
	}
	return reply
}

func (s *Service) awaitInForce(revision uint64) bool {
	deadline := time.Now().Add(inForceTimeout)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		revisionApplied := s.registry.RevisionApplied()
		now := time.Now()
		if s.registry.InForce(revision, now) {
			return true
		}
		if now.After(deadline) {
			return false
		}
		select {
		case <-revisionApplied:
		case <-ticker.C:
		}
	}
}

// Query runs an operator's query.
func (s *commandService) Query(request QueryRequest, reply *QueryReply) error {
	*reply = s.query(request)
	return nil
}

func (s *Service) query(request QueryRequest) QueryReply {
	term, ok := s.readBarrier()
	if !ok {
		return QueryReply{NotLeader: true, Leader: s.leaderAddress()}
	}
	c := s.config.Machine.Configuration()
	reply := QueryReply{Revision: c.Revision, Term: term}
	if request.Configuration {
		reply.Configuration = &c
	}
	if request.History > 0 {
		reply.History = s.config.Machine.History(request.History)
	}
	if request.Members {
		reply.Members, _ = s.registry.Members()
	}
	if request.Spending {
		reply.Accounts = s.config.Machine.Accounts(request)
		reply.Kept = s.config.Machine.Retention()
	}
	if request.Quorum && s.config.Voters != nil {
		reply.Voters = s.config.Voters()
	}
	return reply
}
