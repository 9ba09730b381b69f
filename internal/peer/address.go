package peer

import (
	"net"
	"slices"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// OpenKey is the cluster key of deployments on a network that nobody else reaches. It is no secret.
const OpenKey = "open-network-without-a-cluster-key"

// KeyOrOpen returns a cluster key, and that of an open network when there is none.
func KeyOrOpen(key string) string {
	if key == "" {
		return OpenKey
	}
	return key
}

// AtPort returns the addresses at a port of the instances that other addresses are on, each once. An address
// that is not host:port is an error of kind Unreachable.
func AtPort(addresses []string, port string) ([]string, error) {
	var at []string
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fault.Wrap(err, "read address", Unreachable, address)
		}
		if same := net.JoinHostPort(host, port); !slices.Contains(at, same) {
			at = append(at, same)
		}
	}
	return at, nil
}
