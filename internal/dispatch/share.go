package dispatch

import (
	"context"
	"time"
)

// ShareType says what a cell tells the other cells of its model.
type ShareType string

const (
	// ShareLoss means that connections to an endpoint were lost.
	ShareLoss ShareType = "loss"
	// ShareRefuted means that the endpoint lives after all.
	ShareRefuted ShareType = "refuted"
	// ShareDeath means that the endpoint is dead.
	ShareDeath ShareType = "death"
	// ShareProved means that suspected requests have finished.
	ShareProved ShareType = "proved"
)

// lossTTL is how long a lost connection to an endpoint of another cell counts without news of it. Its
// own cell knows after at most endpoint.DeadAfter whether the endpoint died.
const lossTTL = 10 * time.Second

// ShareRequest tells one cell of a model what another one knows of crashes, so that a request is
// quarantined after two deaths wherever they were.
type ShareRequest struct {
	// Cell is the cell that is told.
	Cell         string
	Type         ShareType
	Endpoint     string
	Fingerprints []uint64
}

// ShareReply answers a ShareRequest.
type ShareReply struct{}

// shareCall tells another cell of the model.
type shareCall struct {
	request ShareRequest
}

func (c shareCall) make(_ context.Context, d *Dispatcher) {
	d.config.Share(c.request)
}

// share tells all other cells of the model.
func (c *cell) share(request ShareRequest) {
	if c.count <= 1 {
		return
	}
	for _, name := range Cells(c.first, c.count) {
		if name != c.name {
			request.Cell = name
			c.calls = append(c.calls, shareCall{request: request})
		}
	}
}

// shared takes what another cell knows.
func (c *cell) shared(now time.Time, request ShareRequest) {
	switch request.Type {
	case ShareLoss:
		for _, fingerprint := range request.Fingerprints {
			c.suspects.lost(now, request.Endpoint, fingerprint)
		}
	case ShareRefuted:
		c.suspects.settle(request.Endpoint)
	case ShareDeath:
		for _, culprit := range c.suspects.death(now, request.Endpoint, request.Fingerprints) {
			c.quarantine(now, culprit)
		}
	case ShareProved:
		for _, fingerprint := range request.Fingerprints {
			c.suspects.proved(now, fingerprint)
		}
	}
	c.pump(now, eventScan)
}

// refute takes an announcement as a sign of life.
func (c *cell) refute(now time.Time, name string) {
	if c.suspects.announced(now, name) {
		c.share(ShareRequest{Type: ShareRefuted, Endpoint: name})
	}
}

// proved records that a request finished; other cells hear of it when they may suspect it.
func (c *cell) proved(now time.Time, fingerprint uint64) {
	if c.suspects.byFingerprint[fingerprint] != nil {
		c.share(ShareRequest{Type: ShareProved, Fingerprints: []uint64{fingerprint}})
	}
	c.suspects.proved(now, fingerprint)
}

// expireLosses drops lost connections to endpoints of other cells that no news came of.
func (c *cell) expireLosses(now time.Time) {
	for _, name := range sortedKeys(c.suspects.losses, func(l *loss) bool { return now.Sub(l.last) > lossTTL }) {
		if r := c.replicas[name]; r == nil || r.moved {
			c.suspects.settle(name)
		}
	}
}
