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

// identify returns how this instance takes part in the quorum: by its name in the bootstrap list, or by what
// the seeds say.
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

// controlAddresses are the peer addresses of this instance, the first voters and the seeds.
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

// memberInterval is how long the list of members is used before it is read from the node again.
const memberInterval = 500 * time.Millisecond

// memberAddresses returns a function that lists the peer addresses of the members.
func (d *daemon) memberAddresses() func() []string {
	var mu sync.Mutex
	var listed time.Time
	var addresses []string
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(listed) < memberInterval {
			return addresses
		}
		listed, addresses = time.Now(), nil
		for _, m := range d.node.Status().Members {
			if !slices.Contains(addresses, m.Address) {
				addresses = append(addresses, m.Address)
			}
		}
		slices.Sort(addresses)
		return addresses
	}
}

// seeds are the addresses by which this instance finds the quorum. They follow the settings file.
type seeds struct {
	mu      sync.Mutex
	path    string
	address string
	list    []string
}

func newSeeds(s Settings) *seeds {
	return &seeds{address: s.peerAddress(), list: s.Seeds}
}

func (s *seeds) peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers, err := formation.Peers(s.address, s.list)
	if err != nil {
		return nil // the settings have been checked
	}
	return peers
}

func (s *seeds) use(list []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

// join asks the members and the seeds to add this instance, where it is not a first voter.
func (d *daemon) join(ctx context.Context) error {
	if !d.identity.Joins {
		<-ctx.Done()
		return nil
	}
	return formation.Join(ctx, formation.JoinConfig{
		ID: d.identity.ID, Address: d.settings.peerAddress(), Peers: d.seeds.peers,
		Quorum: d.node, Caller: d.pool, Logger: d.logger,
	})
}

// reload takes over the seeds of the settings file. Other options need a restart. A file that cannot be used
// leaves the settings in force.
func (s *seeds) reload(client *control.Client, addresses func() []string, logger *zap.Logger) {
	loaded, err := loadSettings(s.path)
	if err != nil {
		logger.Error("Could not reload the settings; the old ones stay in force", zap.Error(err))
		return
	}
	s.use(loaded.Seeds)
	client.SetAddresses(addresses())
	logger.Info("Reloaded the settings", zap.Strings("seeds", loaded.Seeds))
}
