package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// drainedRetryAfter is for requests to a service whose endpoints are all in drained data centres. Operators end a drain,
// so an earlier return is of no use.
const drainedRetryAfter = 5 * time.Second

// drainedDataCentres returns the sorted names of the data centres that operators drain.
func drainedDataCentres(c configuration.Configuration) []string {
	var drained []string
	for _, name := range slices.Sorted(maps.Keys(c.DataCentres)) {
		if c.DataCentres[name].Drain {
			drained = append(drained, name)
		}
	}
	return drained
}

// withDrained returns the endpoints with those in drained data centres listed as draining, and their ids by service.
func withDrained(services map[string][]registration.Record, drained []string) (listed map[string][]registration.Record, ids map[string][]string) {
	if len(drained) == 0 {
		return services, nil
	}
	listed, ids = make(map[string][]registration.Record, len(services)), make(map[string][]string)
	for service, records := range services {
		records = slices.Clone(records)
		for i, r := range records {
			if slices.Contains(drained, r.DataCentre) {
				records[i].State = registration.Draining
				ids[service] = append(ids[service], r.ID)
			}
		}
		listed[service] = records
	}
	return listed, ids
}

// logDrained logs that other data centres are drained than before.
func (f *Fleet) logDrained(revision uint64, drained []string) {
	f.config.Logger.Info("The drained data centres have changed", zap.Strings("drained", drained), zap.Uint64("revision", revision))
}

// DrainedDataCentres returns the names of the data centres that operators drain.
func (f *Fleet) DrainedDataCentres() []string {
	return f.state.Load().drained
}

// InDrainedDataCentre returns the ids of the endpoints of a service that are in drained data centres.
func (f *Fleet) InDrainedDataCentre(service string) []string {
	return f.state.Load().inDrained[service]
}

// refuseDrained refuses a request whose service has endpoints in drained data centres only.
func (g *Gateway) refuseDrained(x *exchange) *Refusal {
	records, _ := g.config.Fleet.Endpoints(x.service)
	if len(records) == 0 || len(g.config.Fleet.InDrainedDataCentre(x.service)) < len(records) {
		return nil
	}
	return pointer(notRun("all endpoints of the service are in drained data centres", drainedRetryAfter))
}
