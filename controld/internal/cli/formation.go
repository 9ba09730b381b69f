package cli

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/controld/internal/formation"
	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/control"
)

// identify returns the identity of this instance in the quorum. With seeds, it is derived from them and the
// data directory; otherwise the id is the name of the instance, and the bootstrap list has the initial voters.
func (s Settings) identify() (formation.Identity, error) {
	if len(s.Seeds) > 0 {
		return formation.Identify(formation.Config{
			Address: s.peerAddress(), Directory: s.DataDirectory, Seeds: s.Seeds, FirstStart: s.FirstStart,
		})
	}
	identity := formation.Identity{ID: s.Instance}
	for _, v := range s.Bootstrap {
		identity.Bootstrap = append(identity.Bootstrap, consensus.Server{ID: v.Instance, Address: v.Address})
	}
	return identity, nil
}

// controlAddresses returns the peer addresses of this instance, the initial voters and the seeds.
func (d *daemon) controlAddresses() []string {
	addresses := []string{d.settings.peerAddress()}
	for _, v := range d.settings.Bootstrap {
		addresses = append(addresses, v.Address)
	}
	for _, address := range slices.Concat(addresses[1:], d.seeds.peers()) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// memberListTTL is how long the list of members is cached before it is read from the node again.
const memberListTTL = 500 * time.Millisecond

// memberAddresses returns a function that lists the peer addresses of the members, from a cache.
func (d *daemon) memberAddresses() func() []string {
	var mu sync.Mutex
	var listedAt time.Time
	var addresses []string
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(listedAt) < memberListTTL {
			return addresses
		}
		listedAt, addresses = time.Now(), nil
		for _, m := range d.node.Status().Members {
			if !slices.Contains(addresses, m.Address) {
				addresses = append(addresses, m.Address)
			}
		}
		slices.Sort(addresses)
		return addresses
	}
}

// seedList holds the addresses by which this instance finds the quorum. reload updates them from the
// settings file.
type seedList struct {
	mu      sync.Mutex
	path    string
	address string
	list    []string
}

func newSeedList(s Settings) *seedList {
	return &seedList{address: s.peerAddress(), list: s.Seeds}
}

func (s *seedList) peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers, err := formation.PeerAddresses(s.address, s.list)
	if err != nil {
		return nil // cannot happen: the settings are validated when they are loaded
	}
	return peers
}

func (s *seedList) set(list []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

// join keeps this instance a member of the quorum, which it finds by the seeds. Without seeds, an operator adds it.
func (d *daemon) join(ctx context.Context) error {
	if len(d.settings.Seeds) == 0 {
		<-ctx.Done()
		return nil
	}
	return formation.Join(ctx, d.joinConfig())
}

func (d *daemon) joinConfig() formation.JoinConfig {
	return formation.JoinConfig{
		ID: d.identity.ID, Address: d.settings.peerAddress(), Peers: d.seeds.peers,
		Quorum: d.node, Caller: d.peerPool, Logger: d.logger,
	}
}

// reload applies the seeds of the settings file; other options require a restart. If the file is invalid,
// the current seeds stay in effect.
func (s *seedList) reload(client *control.Client, addresses func() []string, logger *zap.Logger) {
	loaded, err := loadSettings(s.path)
	if err != nil {
		logger.Error("Could not reload the settings; the old ones stay in force", zap.Error(err))
		return
	}
	s.set(loaded.Seeds)
	client.SetAddresses(addresses())
	logger.Info("Reloaded the settings", zap.Strings("seeds", loaded.Seeds))
}
