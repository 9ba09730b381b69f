package gateway

import (
	"math/rand/v2"
	"time"
)

// Directory tells callers which instances to connect to. There is no load balancer in front of the instances; the
// random order of the addresses distributes the load.
type Directory struct {
	fleet *Fleet
}

// NewDirectory returns a directory of the instances in fleet.
func NewDirectory(fleet *Fleet) *Directory {
	return &Directory{fleet: fleet}
}

// LookupResult is the result of a lookup.
type LookupResult struct {
	Addresses []string
	// TTL is how long callers may cache the addresses.
	TTL time.Duration
}

const (
	// addressTTL is short, because a stopping instance has to serve callers until their cached addresses expire.
	addressTTL = 2 * time.Second
	// maxAddresses limits the addresses in one lookup result.
	maxAddresses = 16
	// minLocalInstances is the number of instances that a data centre needs for its callers to get only local
	// addresses. Links between data centres are expensive, but callers that know a single instance would be cut
	// off if it failed.
	minLocalInstances = 2
)

// Lookup returns the addresses of the instances for callers in a data centre, in random order.
func (d *Directory) Lookup(dataCentre string) LookupResult {
	var local, all []string
	for _, m := range d.fleet.Members() {
		if m.Draining {
			continue
		}
		all = append(all, m.Caller)
		if m.DataCentre == dataCentre {
			local = append(local, m.Caller)
		}
	}
	addresses := all
	if len(local) >= minLocalInstances {
		addresses = local
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return LookupResult{Addresses: addresses[:min(maxAddresses, len(addresses))], TTL: addressTTL}
}
