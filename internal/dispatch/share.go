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

func (c shareCall) execute(_ context.Context, d *Dispatcher) {
	d.config.Share(c.request)
}

// share tells all other cells of the model.
func (c *cell) shareWithCells(request ShareRequest) {
	if c.cellCount <= 1 {
		return
	}
	for _, name := range Cells(c.firstCell, c.cellCount) {
		if name != c.name {
			request.Cell = name
			c.pendingCalls = append(c.pendingCalls, shareCall{request: request})
		}
	}
}

// shared takes what another cell knows.
func (c *cell) applyShare(now time.Time, request ShareRequest) {
	switch request.Type {
	case ShareLoss:
		for _, fingerprint := range request.Fingerprints {
			c.suspects.recordLoss(now, request.Endpoint, fingerprint)
		}
	case ShareRefuted:
		c.suspects.removeLosses(request.Endpoint)
	case ShareDeath:
		for _, culprit := range c.suspects.recordDeath(now, request.Endpoint, request.Fingerprints) {
			c.quarantine(now, culprit)
		}
	case ShareProved:
		for _, fingerprint := range request.Fingerprints {
			c.suspects.markKnownGood(now, fingerprint)
		}
	}
	c.placeQueued(now, maxTriesPerEvent)
}

// refute takes an announcement as a sign of life.
func (c *cell) refuteLosses(now time.Time, name string) {
	if c.suspects.refuteLosses(now, name) {
		c.shareWithCells(ShareRequest{Type: ShareRefuted, Endpoint: name})
	}
}

// proved records that a request finished; other cells hear of it when they may suspect it.
func (c *cell) requestFinished(now time.Time, fingerprint uint64) {
	if c.suspects.byFingerprint[fingerprint] != nil {
		c.shareWithCells(ShareRequest{Type: ShareProved, Fingerprints: []uint64{fingerprint}})
	}
	c.suspects.markKnownGood(now, fingerprint)
}

// expireLosses drops lost connections to endpoints of other cells that no news came of.
func (c *cell) expireLosses(now time.Time) {
	for _, name := range sortedKeys(c.suspects.losses, func(l *connectionLoss) bool { return now.Sub(l.lastLoss) > lossTTL }) {
		if r := c.replicas[name]; r == nil || r.moved {
			c.suspects.removeLosses(name)
		}
	}
}
