package control

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionpier/dandelionpier/internal/declaration"
	"github.com/dandelionpier/dandelionpier/internal/registration"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// DeclareRequest replaces the declared document. A document whose version is not higher than that of the
// stored one changes nothing, so that a request may be sent again.
type DeclareRequest struct {
	Document declaration.Document `cbor:"1,keyasint"`
}

// DeclareReply answers a DeclareRequest.
type DeclareReply struct {
	NotLeader bool
	Leader    string
	// Version is that of the stored document.
	Version uint64
}

// DocumentRequest asks for the newest declared document.
type DocumentRequest struct{}

// DocumentReply answers a DocumentRequest.
type DocumentReply struct {
	NotLeader bool
	Leader    string
	Document  declaration.Document
}

// RegisterRequest carries what endpoints say of themselves, or that one takes no more work.
type RegisterRequest struct {
	CheckIn *registration.Record    `cbor:"1,keyasint,omitempty"`
	Depart  *registration.Departure `cbor:"2,keyasint,omitempty"`
}

// RegisterReply answers a RegisterRequest. The change is committed then.
type RegisterReply struct {
	NotLeader bool
	Leader    string
}

// SuspectRequest says that an endpoint died while it ran a request.
type SuspectRequest struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Endpoint is the id of the life that died.
	Endpoint string `cbor:"2,keyasint"`
}

// SuspectReply answers a SuspectRequest.
type SuspectReply struct {
	NotLeader   bool
	Leader      string
	Quarantined bool
}

func (r DeclareReply) redirect() (bool, string)  { return r.NotLeader, r.Leader }
func (r DocumentReply) redirect() (bool, string) { return r.NotLeader, r.Leader }
func (r RegisterReply) redirect() (bool, string) { return r.NotLeader, r.Leader }
func (r SuspectReply) redirect() (bool, string)  { return r.NotLeader, r.Leader }

const (
	// convictingDeaths is the number of endpoints that must die running a request before it is refused.
	convictingDeaths = 3
	// maxSuspects bounds the requests that are remembered with the deaths of endpoints.
	maxSuspects = 4096
)

// suspect is a request that ran on endpoints that died.
type suspect struct {
	// Deaths are the ids of the endpoints.
	Deaths []string `cbor:"1,keyasint"`
	// Last is the time of the last death in Unix milliseconds.
	Last int64 `cbor:"2,keyasint"`
}

// declare replaces the document. The caller holds m.mu.
func (m *Machine) declare(request DeclareRequest) DeclareReply {
	if request.Document.Version > m.document.Version {
		m.document = request.Document
		m.notify()
	}
	return DeclareReply{Version: m.document.Version}
}

// register changes the list of endpoints. The caller holds m.mu.
func (m *Machine) register(request RegisterRequest) RegisterReply {
	before := m.endpoints.Version()
	if request.CheckIn != nil {
		m.endpoints.CheckIn(*request.CheckIn)
	}
	if request.Depart != nil {
		m.endpoints.Depart(*request.Depart)
	}
	if m.endpoints.Version() != before {
		m.notify()
	}
	return RegisterReply{}
}

// noteDeath remembers that an endpoint died running a request, and quarantines the request after
// convictingDeaths of them. The caller holds m.mu.
func (m *Machine) noteDeath(request SuspectRequest) SuspectReply {
	for f, s := range m.suspects {
		if s.Last+QuarantineTime.Milliseconds() <= m.now {
			delete(m.suspects, f)
		}
	}
	s := m.suspects[request.Fingerprint]
	s.Last = m.now
	if !slices.Contains(s.Deaths, request.Endpoint) {
		s.Deaths = append(slices.Clone(s.Deaths), request.Endpoint)
	}
	if len(s.Deaths) < convictingDeaths {
		if len(m.suspects) < maxSuspects {
			m.suspects[request.Fingerprint] = s
		}
		return SuspectReply{}
	}
	delete(m.suspects, request.Fingerprint)
	m.addQuarantine(request.Fingerprint)
	return SuspectReply{Quarantined: true}
}

// Document returns the declared document.
func (m *Machine) Document() declaration.Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.document
}

// EndpointNews reports whether a registration would change the list of endpoints.
func (m *Machine) EndpointNews(request RegisterRequest) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if request.Depart != nil {
		return true
	}
	return request.CheckIn != nil && m.endpoints.WouldChange(*request.CheckIn)
}

// Endpoints returns the registered endpoints.
func (m *Machine) Endpoints() []registration.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.endpoints.Records()
}

// versions returns the versions of what entries follow beside the configuration.
func (m *Machine) versions(control []string) session.KnownVersions {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return session.KnownVersions{
		Declaration: m.document.Version,
		Endpoints:   m.endpoints.Version(),
		Control:     addressVersion(control),
	}
}

// addressVersion is a hash of the addresses, so that equal lists have equal versions on all leaders.
func addressVersion(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(addresses, ","))
}

// news returns what an entry lacks, or nil.
func (m *Machine) news(known session.KnownVersions, control []string) *session.Update {
	version := m.versions(control)
	if version == known {
		return nil
	}
	news := &session.Update{Version: version}
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.document.Version > known.Declaration {
		document := m.document
		news.Declaration = &document
	}
	// The lock was released since versions were read; the reply names what it carries.
	news.Version.Declaration = m.document.Version
	news.Version.Endpoints = m.endpoints.Version()
	changes, complete := m.endpoints.Since(known.Endpoints)
	if complete {
		news.EndpointChanges = changes
	} else {
		news.AllEndpoints, news.Endpoints = true, m.endpoints.Records()
	}
	if version.Control != known.Control {
		news.Control = control
	}
	return news
}
