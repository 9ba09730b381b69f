package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/availability"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/placement"
	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// recordAvailability records what a response says about further requests to its endpoint. A response to another request
// is not trusted.
func (g *Gateway) recordAvailability(x *exchange, a *attempt, resp *endpointResponse) {
	if resp == nil || resp.info.RequestID != "" && resp.info.RequestID != a.outgoing.Call.ID {
		return
	}
	if !resp.info.Leaving && resp.info.Pause <= 0 {
		return
	}
	now := time.Now()
	endpoint := availability.Incarnation{ID: a.outgoing.Endpoint, Started: a.outgoing.Started}
	records, _ := g.config.Fleet.Endpoints(x.service)
	g.availability.Forget(now, x.service, incarnations(records))
	if resp.info.Leaving {
		g.availability.RecordLeaving(now, x.service, endpoint)
		a.leaving = true
	}
	g.availability.RecordPause(now, x.service, endpoint, resp.info.Pause)
	x.log.Info("An endpoint wants no more requests", zap.String(logging.Endpoint, endpoint.ID), zap.Int64("started", endpoint.Started),
		zap.Bool("leaving", resp.info.Leaving), zap.Duration("pause", resp.info.Pause))
}

func incarnation(r registration.Record) availability.Incarnation {
	return availability.Incarnation{ID: r.ID, Started: r.Started}
}

func incarnations(records []registration.Record) []availability.Incarnation {
	list := make([]availability.Incarnation, len(records))
	for i, r := range records {
		list[i] = incarnation(r)
	}
	return list
}

// availableRecords returns the endpoints that have not told this entry to send nothing.
func (g *Gateway) availableRecords(now time.Time, records []registration.Record) []registration.Record {
	available := make([]registration.Record, 0, len(records))
	for _, r := range records {
		if g.availability.Allows(now, incarnation(r)) {
			available = append(available, r)
		}
	}
	return available
}

// unavailableEngines returns the ids of the registered engines of a service that drain or have told this entry to send
// nothing.
func (g *Gateway) unavailableEngines(now time.Time, service string, records []registration.Record) []string {
	ids := slices.Clone(g.config.Fleet.Draining(service))
	unavailable := g.availability.Unavailable(now, service)
	if len(unavailable) == 0 {
		return ids
	}
	for _, r := range records {
		if r.State == registration.Ready && slices.Contains(unavailable, incarnation(r)) {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// unavailableMembers returns the engines of a grant that may not be sent a request: those that have told this entry so, and
// those that drain or have left by its own list, which may be newer than the dispatcher's.
func (g *Gateway) unavailableMembers(now time.Time, grant placement.Grant) []placement.Member {
	var unavailable []placement.Member
	for _, m := range grant.Members {
		withdrawn, _ := g.config.Fleet.Withdrawn(m.Endpoint, m.Started)
		if withdrawn || !g.availability.Allows(now, availability.Incarnation{ID: m.Endpoint, Started: m.Started}) {
			unavailable = append(unavailable, m)
		}
	}
	return unavailable
}

// decline gives back a grant with engines that are not available, and tells the dispatcher which of them drain.
func (g *Gateway) decline(x *exchange, a *attempt, unavailable []placement.Member) {
	for _, m := range unavailable {
		_, drains := g.config.Fleet.Withdrawn(m.Endpoint, m.Started)
		a.declined = append(a.declined, m.Endpoint)
		if drained := g.config.Fleet.InDrainedDataCentre(x.service); slices.Contains(drained, m.Endpoint) {
			// The dispatcher does not know of the drain yet, so it would grant the next one.
			a.declined = append(a.declined, drained...)
		}
		g.config.Placer.Report(placement.Event{Type: placement.Declined, Job: *a.job, Endpoint: m.Endpoint, Started: m.Started, Leaving: drains})
		x.log.Info("Declined a granted engine", zap.String(logging.AttemptID, a.dispatchID()), zap.String(logging.Endpoint, m.Endpoint),
			zap.Int64("started", m.Started), zap.Bool("drains", drains))
	}
}

// pauseLeft returns the time until the first paused endpoint takes requests again, or otherwise if none is paused.
func (g *Gateway) pauseLeft(now time.Time, records []registration.Record, otherwise time.Duration) time.Duration {
	if left, paused := g.availability.PauseLeft(now, incarnations(records)); paused {
		return left
	}
	return otherwise
}
