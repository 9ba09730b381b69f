// Package formation bootstraps the quorum from instances that know only a few seed addresses: it determines
// the initial voters, and how an instance with an empty disk joins or rejoins.
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
	// Removed means that the quorum has removed the instance.
	Removed Kind = "removed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Config describes the instance whose identity Identify returns.
type Config struct {
	// Address is the peer address of the instance.
	Address string
	// Directory is the data directory.
	Directory string
	// Seeds are addresses of instances of the quorum. Their hosts serve peers on the port of Address.
	Seeds []string
	// FirstStart means that the whole deployment starts for the first time, with empty disks.
	FirstStart bool
}

// Identity is the id of an instance in the quorum and how it becomes a member.
type Identity struct {
	ID string
	// Bootstrap lists the initial voters. It is empty on an instance that joins.
	Bootstrap []consensus.Server
}

// randomIDBytes is the length of the random part of an id.
const randomIDBytes = 8

// Identify returns the identity of an instance. The id of an initial voter is its address. An instance whose
// disk is empty at a later start gets a new unique id, so that the quorum does not count votes and log
// entries that the instance has lost.
func Identify(config Config) (Identity, error) {
	peers, err := PeerAddresses(config.Address, config.Seeds)
	if err != nil {
		return Identity{}, err
	}
	stored, hasStored, err := journal.StoredIdentity(config.Directory)
	if err != nil {
		return Identity{}, fault.Wrap(err, "identify", Disk, config.Directory)
	}
	isSeed := slices.Contains(peers, config.Address)
	switch {
	case hasStored && stored.ID == config.Address:
		// Only an instance that stopped before the first election uses the list.
		return Identity{ID: stored.ID, Bootstrap: bootstrapServers(peers)}, nil
	case hasStored:
		return Identity{ID: stored.ID}, nil
	case config.FirstStart && isSeed:
		return Identity{ID: config.Address, Bootstrap: bootstrapServers(peers)}, nil
	}
	id := make([]byte, randomIDBytes)
	if _, err := rand.Read(id); err != nil {
		return Identity{}, fault.Wrap(err, "identify", Disk, "random id")
	}
	return Identity{ID: config.Address + "/" + hex.EncodeToString(id)}, nil
}

// PeerAddresses returns the peer addresses of the seeds: their hosts with the port of address, the instance's own
// peer address.
func PeerAddresses(address string, seeds []string) ([]string, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fault.Wrap(err, "read address", Invalid, address)
	}
	peers, err := peer.WithPort(seeds, port)
	return peers, fault.Wrap(err, "read seeds", Invalid, "seeds")
}

func bootstrapServers(addresses []string) []consensus.Server {
	list := make([]consensus.Server, 0, len(addresses))
	for _, address := range addresses {
		list = append(list, consensus.Server{ID: address, Address: address})
	}
	return list
}
