package control

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
)

// DrainRequest asks that the endpoints of a data centre get no new work, or takes that back. It sets a state, so it can
// be sent again.
type DrainRequest struct {
	DataCentre string `cbor:"1,keyasint"`
	Drain      bool   `cbor:"2,keyasint"`
	// Author is named in the history.
	Author string `cbor:"3,keyasint"`
	// Since, if set, is the revision of the configuration when the order was accepted. If the drain of the data centre has
	// changed after it, the order changes nothing.
	Since *uint64 `cbor:"4,keyasint,omitempty"`
}

// DrainReply is the reply to a DrainRequest. It is sent after the change has been committed.
type DrainReply struct {
	NotLeader bool
	Leader    string
	// Revision is the configuration revision that contains the requested state.
	Revision uint64
	// Changed is false if the state was as requested before.
	Changed bool
	// Superseded means that a later order has set another state, which stays.
	Superseded bool
}

func (r DrainReply) redirect() (bool, string) { return r.NotLeader, r.Leader }

// drainDataCentre sets whether a data centre is drained, as a revision of the configuration. Unlike an operator's
// transaction it does not depend on changes of anything else. The caller holds m.mu.
func (m *Machine) drainDataCentre(request DrainRequest) DrainReply {
	if m.configuration.DataCentres[request.DataCentre].Drain == request.Drain {
		return DrainReply{Revision: m.configuration.Revision}
	}
	if request.Since != nil && m.dataCentreChangedAfter(*request.Since, request.DataCentre) {
		return DrainReply{Revision: m.configuration.Revision, Superseded: true}
	}
	setting := configuration.DataCentreSetting{Name: request.DataCentre, Drain: request.Drain}
	reply := m.acceptChanges(request.Author, []configuration.Change{{DataCentre: &setting}})
	return DrainReply{Revision: reply.Revision, Changed: reply.Status == Accepted}
}

// dataCentreChangedAfter reports whether a revision after the given one may have changed the settings of a data centre.
// The caller holds m.mu.
func (m *Machine) dataCentreChangedAfter(revision uint64, name string) bool {
	later := m.since(revision)
	if uint64(len(later)) != m.configuration.Revision-min(revision, m.configuration.Revision) {
		return true // some revisions are no longer kept
	}
	return slices.ContainsFunc(later, func(r configuration.Revision) bool {
		return slices.ContainsFunc(r.Changes, func(c configuration.Change) bool {
			return c.DataCentre != nil && c.DataCentre.Name == name
		})
	})
}

// DrainDataCentre commits whether a data centre is drained.
func (s *commandService) DrainDataCentre(request DrainRequest, reply *DrainReply) error {
	result, ok := propose[DrainReply](s.Service, Command{DrainDataCentre: &request})
	if !ok {
		reply.NotLeader, reply.Leader = true, s.leaderAddress()
		return nil
	}
	*reply = result
	s.config.Logger.Info("Committed the state of a data centre", zap.String("data-centre", request.DataCentre),
		zap.Bool("drain", request.Drain), zap.Bool("changed", result.Changed), zap.Bool("superseded", result.Superseded), zap.Uint64("revision", result.Revision))
	return nil
}

// DrainDataCentre asks that the endpoints of a data centre get no new work, or takes that back.
func (c *Client) DrainDataCentre(ctx context.Context, request DrainRequest) (DrainReply, error) {
	return call[DrainReply](ctx, c, "Commands.DrainDataCentre", request, attemptTimeout)
}
