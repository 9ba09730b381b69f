package gateway

import (
	"math/rand/v2"
	"time"
)

// Directory tells callers which instances to use. There is no load balancer: these answers spread the load.
type Directory struct {
	fleet *Fleet
}

// NewDirectory returns the directory of a fleet.
func NewDirectory(fleet *Fleet) *Directory {
	return &Directory{fleet: fleet}
}

// Addresses are where callers may connect.
type Addresses struct {
	Addresses []string
	// TTL is how long the answer may be used.
	TTL time.Duration
}

const (
	// addressTTL is short, because an instance that stops serves callers for as long as they may know it.
	addressTTL = 2 * time.Second
	// maxAddresses bounds an answer.
	maxAddresses = 16
	// leastLocal is the number of instances in a data centre from which its callers stay there: links
	// between data centres are dear, and the callers of a single instance would be lost with it.
	leastLocal = 2
)

// Answer returns the instances for callers in a data centre, in random order.
func (d *Directory) Answer(dataCentre string) Addresses {
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
	if len(local) >= leastLocal {
		addresses = local
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return Addresses{Addresses: addresses[:min(maxAddresses, len(addresses))], TTL: addressTTL}
}
