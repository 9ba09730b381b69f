package gateway

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// silence is the time without an event after which an endpoint is called. Engines may be silent for
	// seconds while they read long prompts, so silence alone ends nothing.
	silence = 700 * time.Millisecond
	// livenessTimeout bounds that call.
	livenessTimeout = 300 * time.Millisecond
)

// watchdog cancels an attempt whose endpoint is silent and does not accept connections any more. It answers
// engines that fall silent without a reset, under which a stream would wait until its caller gives it up.
type watchdog struct {
	address string
	cancel  context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	ended bool
	dead  bool
}

func newWatchdog(address string, cancel context.CancelFunc) *watchdog {
	w := &watchdog{address: address, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silence, w.check)
	return w
}

func (w *watchdog) check() {
	alive := accepts(w.address)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if alive {
		w.timer.Reset(silence)
		return
	}
	w.dead = true
	w.cancel()
}

// accepts reports whether an address accepts connections.
func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, livenessTimeout)
	if err != nil {
		return false
	}
	// Nothing was sent on it.
	_ = conn.Close()
	return true
}

// heard starts the time of silence anew.
func (w *watchdog) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && !w.dead {
		w.timer.Reset(silence)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

func (w *watchdog) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}
