package peer

import (
	"net"
	"slices"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// OpenNetworkKey is the cluster key of deployments on an open network, one that nobody else can reach. It is
// not secret.
const OpenNetworkKey = "open-network-without-a-cluster-key"

// KeyOrOpenNetworkKey returns the given cluster key, or OpenNetworkKey if it is empty.
func KeyOrOpenNetworkKey(key string) string {
	if key == "" {
		return OpenNetworkKey
	}
	return key
}

// WithPort returns the hosts of addresses joined with the given port, without duplicates. An address that is
// not host:port is an error of kind Unreachable.
func WithPort(addresses []string, port string) ([]string, error) {
	var result []string
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fault.Wrap(err, "read address", Unreachable, address)
		}
		if joined := net.JoinHostPort(host, port); !slices.Contains(result, joined) {
			result = append(result, joined)
		}
	}
	return result, nil
}
