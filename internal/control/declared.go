package control

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// DeclareRequest replaces the declared document. A document whose version is not higher than that of the
// stored one changes nothing, so a request can be retried.
type DeclareRequest struct {
	Document declaration.Document `cbor:"1,keyasint"`
}

// DeclareReply is the reply to a DeclareRequest.
type DeclareReply struct {
	NotLeader bool
	Leader    string
	// Version is the version of the stored document.
	Version uint64
}

// DocumentRequest asks for the newest declared document.
type DocumentRequest struct{}

// DocumentReply is the reply to a DocumentRequest.
type DocumentReply struct {
	NotLeader bool
	Leader    string
	Document  declaration.Document
}

// RegisterRequest carries the check-in of an endpoint, or says that one no longer accepts work.
type RegisterRequest struct {
	CheckIn *registration.Record    `cbor:"1,keyasint,omitempty"`
	Depart  *registration.Departure `cbor:"2,keyasint,omitempty"`
}

// RegisterReply is the reply to a RegisterRequest. It is sent after the change has been committed.
type RegisterReply struct {
	NotLeader bool
	Leader    string
	// Refused means that the check-in names another service, data centre or address than the endpoint with its id has, so
	// that it changed nothing.
	Refused bool
	// Superseded means that the departure changed nothing, because a later incarnation of the endpoint is registered.
	Superseded bool
}

// SuspectRequest reports that an endpoint died while it ran a request.
type SuspectRequest struct {
	// Fingerprint is that of the request, or crash.NoFingerprint if only its parts are suspects.
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Endpoint is the id of the endpoint that died. It may start again under the same id.
	Endpoint string `cbor:"2,keyasint"`
	// Parts are the parts of the prompt that other requests may hold, if the endpoint is an engine.
	Parts []string `cbor:"3,keyasint,omitempty"`
	// Started is the start of the incarnation that died in Unix milliseconds, or 0 if it is not known.
	Started int64 `cbor:"4,keyasint,omitempty"`
	// Stream is set if the response to the request had begun.
	Stream *CutStream `cbor:"5,keyasint,omitempty"`
}

// CutStream tells the times of a response that a crash cut off.
type CutStream struct {
	// SentAgo is the time since the request was sent to the endpoint, EndedAgo the time since the response was cut off,
	// both when the report is sent.
	SentAgo  time.Duration `cbor:"1,keyasint"`
	EndedAgo time.Duration `cbor:"2,keyasint"`
}

// ClearPartRequest says that an engine has written on a part of prompts since the first crash that it is blamed for.
type ClearPartRequest struct {
	Part string `cbor:"1,keyasint"`
}

// ClearPartReply is the reply to a ClearPartRequest.
type ClearPartReply struct {
	NotLeader bool
	Leader    string
	// Cleared means that the part was blamed before.
	Cleared bool
}

// diedAt returns the time of the death in Unix milliseconds.
func (r SuspectRequest) diedAt(now int64) int64 {
	if r.Stream == nil {
		return now
	}
	return now - r.Stream.EndedAgo.Milliseconds()
}

// SuspectReply is the reply to a SuspectRequest.
type SuspectReply struct {
	NotLeader   bool
	Leader      string
	Quarantined bool
	// Blamed has the parts of prompts that are blamed for crashes, if the report has changed them.
	Blamed []crash.Blame
}

func (r DeclareReply) redirect() (bool, string)  { return r.NotLeader, r.Leader }
func (r DocumentReply) redirect() (bool, string) { return r.NotLeader, r.Leader }
func (r RegisterReply) redirect() (bool, string) { return r.NotLeader, r.Leader }
func (r SuspectReply) redirect() (bool, string)  { return r.NotLeader, r.Leader }

func (r ClearPartReply) redirect() (bool, string) { return r.NotLeader, r.Leader }

const (
	// quarantineThreshold is the number of different incarnations of endpoints that must die while they run a request
	// before the request is quarantined.
	quarantineThreshold = 3
	// maxSuspects bounds the number of suspect requests that are tracked.
	maxSuspects = 4096
	// reportTimeTolerance bounds by how much the times that two reports take may differ for their order in time to be told.
	reportTimeTolerance = 250 * time.Millisecond
)

// suspect records the deaths of endpoints that ran one request.
type suspect struct {
	// Last is the time of the last report in Unix milliseconds.
	Last int64 `cbor:"2,keyasint"`
	// Deaths are the incarnations of endpoints that died.
	Deaths []death `cbor:"3,keyasint"`
	// LastDeath is the time of the last death in Unix milliseconds.
	LastDeath int64 `cbor:"4,keyasint,omitempty"`
}

// wasRunning reports whether a stream had begun before the last death. Endpoints that fail together cut all their streams,
// which says little of a request that ran at several of them. One that crashes endpoints also crashes those that get it
// after a death.
func (s suspect) wasRunning(stream *CutStream, now int64) bool {
	if stream == nil || len(s.Deaths) == 0 {
		return false
	}
	sent := now - stream.SentAgo.Milliseconds()
	return sent < s.LastDeath-reportTimeTolerance.Milliseconds()
}

// death is the death of one incarnation of an endpoint.
type death struct {
	Endpoint string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint"`
}

// declare replaces the document if the new version is higher. The caller holds m.mu.
func (m *Machine) declare(request DeclareRequest) DeclareReply {
	if request.Document.Version > m.document.Version {
		m.document = request.Document
		m.notify()
	}
	return DeclareReply{Version: m.document.Version}
}

// register applies a check-in or a departure to the list of endpoints. The caller holds m.mu.
func (m *Machine) register(request RegisterRequest) RegisterReply {
	before := m.endpoints.Version()
	var reply RegisterReply
	if request.CheckIn != nil {
		m.endpoints.CheckIn(*request.CheckIn)
	}
	if request.Depart != nil {
		reply.Superseded = !m.endpoints.Depart(*request.Depart)
	}
	if m.endpoints.Version() != before {
		m.notify()
	}
	return reply
}

// recordDeath records that an endpoint died while it ran a request, and quarantines the request after the deaths of
// quarantineThreshold incarnations. The caller holds m.mu.
func (m *Machine) recordDeath(request SuspectRequest) SuspectReply {
	reply := SuspectReply{Blamed: m.changeBlames(func() {
		m.crashes.Record(crash.Report{Endpoint: request.Endpoint, Started: request.Started, Parts: request.Parts}, m.logTime)
	})}
	for f, s := range m.suspects {
		if s.Last+QuarantineTime.Milliseconds() <= m.logTime {
			delete(m.suspects, f)
		}
	}
	if request.Fingerprint == crash.NoFingerprint {
		return reply
	}
	s := m.suspects[request.Fingerprint]
	if s.wasRunning(request.Stream, m.logTime) {
		return reply
	}
	s.Last = m.logTime
	s.LastDeath = max(s.LastDeath, request.diedAt(m.logTime))
	if died := (death{request.Endpoint, request.Started}); !slices.Contains(s.Deaths, died) {
		s.Deaths = append(slices.Clone(s.Deaths), died)
	}
	if len(s.Deaths) < quarantineThreshold {
		if len(m.suspects) < maxSuspects {
			m.suspects[request.Fingerprint] = s
		}
		return reply
	}
	delete(m.suspects, request.Fingerprint)
	m.addQuarantine(request.Fingerprint)
	reply.Quarantined = true
	return reply
}

// clearPart removes the evidence against a part. The caller holds m.mu.
func (m *Machine) clearPart(request ClearPartRequest) ClearPartReply {
	blamed := slices.ContainsFunc(m.crashes.Blames(m.logTime), func(b crash.Blame) bool { return b.Part == request.Part })
	m.changeBlames(func() { m.crashes.Clear(request.Part, m.logTime) })
	return ClearPartReply{Cleared: blamed}
}

// changeBlames changes the evidence on crashes. If other parts are blamed then, or for another time, it notifies and
// returns them. The caller holds m.mu.
func (m *Machine) changeBlames(change func()) []crash.Blame {
	before := crash.Version(m.crashes.Blames(m.logTime))
	change()
	blames := m.crashes.Blames(m.logTime)
	if crash.Version(blames) == before {
		return nil
	}
	m.notify()
	return blames
}

// Blames returns the parts of prompts that are blamed for crashes, and the time that theirs relate to. now is in Unix
// milliseconds; the time of the log goes first if it is ahead.
func (m *Machine) Blames(now int64) (blames []crash.Blame, asOf int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	asOf = max(now, m.logTime)
	return m.crashes.Blames(asOf), asOf
}

// Document returns the declared document.
func (m *Machine) Document() declaration.Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.document
}

// WouldChangeEndpoints reports whether a request would change the list of endpoints.
func (m *Machine) WouldChangeEndpoints(request RegisterRequest) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if request.Depart != nil {
		return true
	}
	return request.CheckIn != nil && m.endpoints.WouldChange(*request.CheckIn)
}

// StaysCold reports whether a check-in says of a cold endpoint only for how long it stays so.
func (m *Machine) StaysCold(r registration.Record) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.endpoints.StaysCold(r)
}

// ContradictsEndpoint reports whether a check-in cannot be that of the endpoint with its id.
func (m *Machine) ContradictsEndpoint(r registration.Record) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.endpoints.Contradicts(r)
}

// Endpoints returns the registered endpoints.
func (m *Machine) Endpoints() []registration.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.endpoints.Records()
}

// stateVersions returns the versions of the state that entries replicate in addition to the configuration.
func (m *Machine) stateVersions(control []string) session.KnownVersions {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return session.KnownVersions{
		Declaration: m.document.Version,
		Endpoints:   m.endpoints.Version(),
		Control:     addressVersion(control),
	}
}

// addressVersion returns a hash of the addresses, so that equal lists have equal versions on all leaders.
func addressVersion(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(addresses, ","))
}

// updateFor returns the state that an entry lacks in addition to the configuration, or nil if it is up to date.
func (m *Machine) updateFor(known session.KnownVersions, control []string) *session.Update {
	version := m.stateVersions(control)
	if version == known {
		return nil
	}
	update := &session.Update{Version: version}
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.document.Version > known.Declaration {
		document := m.document
		update.Declaration = &document
	}
	// The lock was released after the versions were read, so they may be outdated: set those of the state
	// that is sent.
	update.Version.Declaration = m.document.Version
	update.Version.Endpoints = m.endpoints.Version()
	changes, complete := m.endpoints.Since(known.Endpoints)
	if complete {
		update.EndpointChanges = changes
	} else {
		update.AllEndpoints, update.Endpoints = true, m.endpoints.Records()
	}
	if version.Control != known.Control {
		update.Control = control
	}
	return update
}
