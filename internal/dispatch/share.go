package dispatch

import (
	"context"
	"time"
)

// ShareType is what a cell tells the other cells of its model.
type ShareType string

const (
	// ShareConnectionLost means that connections to an endpoint were lost.
	ShareConnectionLost ShareType = "loss"
	// ShareEndpointAlive means that the endpoint turned out to be alive after lost connections.
	ShareEndpointAlive ShareType = "refuted"
	// ShareEndpointDied means that the endpoint is dead.
	ShareEndpointDied ShareType = "death"
	// ShareRequestFinished means that suspected requests have finished, which clears them.
	ShareRequestFinished ShareType = "proved"
)

// lossTTL is how long a lost connection to an endpoint of another cell counts without a further message
// about it. The endpoint's own cell knows after at most endpoint.DeadAfter whether the endpoint died.
const lossTTL = 10 * time.Second

// ShareRequest tells a cell of a model what another one knows about crashes, so that a request is
// quarantined after two deaths in any of the cells.
type ShareRequest struct {
	// Cell is the cell that receives the request.
	Cell         string
	Type         ShareType
	Endpoint     string
	Fingerprints []uint64
}

// ShareReply is the empty reply to a ShareRequest.
type ShareReply struct{}

// shareCall sends a ShareRequest to another cell of the model.
type shareCall struct {
	request ShareRequest
}

func (c shareCall) execute(_ context.Context, d *Dispatcher) {
	d.config.SendShare(c.request)
}

// shareWithCells schedules sending the request to all other cells of the model.
func (c *cell) shareWithCells(request ShareRequest) {
	if c.cellCount <= 1 {
		return
	}
	for _, name := range CellNames(c.firstCell, c.cellCount) {
		if name != c.name {
			request.Cell = name
			c.pendingCalls = append(c.pendingCalls, shareCall{request: request})
		}
	}
}

// applyShare applies what another cell knows.
func (c *cell) applyShare(now time.Time, request ShareRequest) {
	switch request.Type {
	case ShareConnectionLost:
		for _, fingerprint := range request.Fingerprints {
			c.suspects.recordLoss(now, request.Endpoint, fingerprint)
		}
	case ShareEndpointAlive:
		c.suspects.removeLosses(request.Endpoint)
	case ShareEndpointDied:
		for _, culprit := range c.suspects.recordDeath(now, request.Endpoint, request.Fingerprints) {
			c.quarantine(now, culprit)
		}
	case ShareRequestFinished:
		for _, fingerprint := range request.Fingerprints {
			c.suspects.markKnownGood(now, fingerprint)
		}
	}
	c.placeQueued(now, maxTriesPerEvent)
}

// refuteLosses treats an announcement as proof that the endpoint is alive, and tells the other cells if
// that refutes lost connections.
func (c *cell) refuteLosses(now time.Time, name string) {
	if c.suspects.refuteLosses(now, name) {
		c.shareWithCells(ShareRequest{Type: ShareEndpointAlive, Endpoint: name})
	}
}

// requestFinished records that a request finished, and tells the other cells if they may suspect it.
func (c *cell) requestFinished(now time.Time, fingerprint uint64) {
	if c.suspects.byFingerprint[fingerprint] != nil {
		c.shareWithCells(ShareRequest{Type: ShareRequestFinished, Fingerprints: []uint64{fingerprint}})
	}
	c.suspects.markKnownGood(now, fingerprint)
}

// expireLosses removes lost connections to endpoints of other cells about which no further message came.
func (c *cell) expireLosses(now time.Time) {
	for _, name := range sortedKeys(c.suspects.losses, func(l *connectionLoss) bool { return now.Sub(l.lastLoss) > lossTTL }) {
		if r := c.replicas[name]; r == nil || r.moved {
			c.suspects.removeLosses(name)
		}
	}
}
