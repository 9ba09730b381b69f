// Package formation makes a quorum out of instances that know only a few addresses: who votes first, and how
// an instance with an empty disk joins or returns.
package formation

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"slices"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
	"github.com/dandelionpier/dandelionpier/internal/peer"
)

// Kind classifies an Error.
type Kind string

const (
	// Invalid means that an address is not host:port.
	Invalid Kind = "invalid"
	// Disk means that the data directory cannot be read.
	Disk Kind = "disk"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Config describes one instance.
type Config struct {
	// Address is the peer address of the instance.
	Address   string
	Directory string
	// Seeds are addresses on instances of the quorum. Their hosts serve peers at the port of Address.
	Seeds []string
	// FirstStart says that the whole deployment starts for the first time, with empty disks.
	FirstStart bool
}

// Identity is how an instance takes part in the quorum.
type Identity struct {
	ID string
	// Bootstrap lists the first voters. It is empty on an instance that joins.
	Bootstrap []consensus.Server
	// Joins says that the instance asks to be added as a learner.
	Joins bool
}

// identityBytes is the length of the random part of an id.
const identityBytes = 8

// Identify returns the identity of an instance. The first voters are named by their addresses. An instance
// whose disk is empty later on gets an id that nobody has had, so that what it forgot is not counted.
func Identify(config Config) (Identity, error) {
	peers, err := Peers(config.Address, config.Seeds)
	if err != nil {
		return Identity{}, err
	}
	stored, ok, err := journal.StoredIdentity(config.Directory)
	if err != nil {
		return Identity{}, fault.Wrap(err, "identify", Disk, config.Directory)
	}
	first := slices.Contains(peers, config.Address)
	switch {
	case ok && stored.ID == config.Address:
		// The list serves an instance that stopped before the first election; others ignore it.
		return Identity{ID: stored.ID, Bootstrap: servers(peers)}, nil
	case ok:
		return Identity{ID: stored.ID, Joins: true}, nil
	case config.FirstStart && first:
		return Identity{ID: config.Address, Bootstrap: servers(peers)}, nil
	}
	id := make([]byte, identityBytes)
	if _, err := rand.Read(id); err != nil {
		return Identity{}, fault.Wrap(err, "identify", Disk, "random id")
	}
	return Identity{ID: config.Address + "/" + hex.EncodeToString(id), Joins: true}, nil
}

// Peers returns the peer addresses of the seeds, which have the port of the own address.
func Peers(address string, seeds []string) ([]string, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fault.Wrap(err, "read address", Invalid, address)
	}
	peers, err := peer.WithPort(seeds, port)
	return peers, fault.Wrap(err, "read seeds", Invalid, "seeds")
}

func servers(addresses []string) []consensus.Server {
	list := make([]consensus.Server, 0, len(addresses))
	for _, address := range addresses {
		list = append(list, consensus.Server{ID: address, Address: address})
	}
	return list
}
