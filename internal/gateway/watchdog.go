package gateway

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// silenceTimeout is the time without an event after which the watchdog checks whether the endpoint still
	// accepts connections. Engines may send nothing for seconds during the prefill of long prompts, so silence
	// alone does not cancel an attempt.
	silenceTimeout = 700 * time.Millisecond
	// livenessTimeout is the timeout of that connection attempt.
	livenessTimeout = 300 * time.Millisecond
)

// watchdog cancels an attempt whose endpoint sends no events and no longer accepts connections. Without it, a stream
// from an engine that fails without a TCP reset would hang until its caller gives up.
type watchdog struct {
	address string
	cancel  context.CancelFunc

	mu           sync.Mutex
	timer        *time.Timer
	stopped      bool
	endpointDead bool
}

func newWatchdog(address string, cancel context.CancelFunc) *watchdog {
	w := &watchdog{address: address, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceTimeout, w.check)
	return w
}

func (w *watchdog) check() {
	alive := acceptsConnections(w.address)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if alive {
		w.timer.Reset(silenceTimeout)
		return
	}
	w.endpointDead = true
	w.cancel()
}

// acceptsConnections reports whether an address accepts TCP connections.
func acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, livenessTimeout)
	if err != nil {
		return false
	}
	// An error does not matter, because nothing was sent.
	_ = conn.Close()
	return true
}

// reset restarts the silence timeout after an event.
func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && !w.endpointDead {
		w.timer.Reset(silenceTimeout)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *watchdog) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpointDead
}
