package crash

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/task"
)

// Quorum records evidence. control.Client implements it.
type Quorum interface {
	// ReportCrash records that an endpoint crashed while it ran a request.
	ReportCrash(ctx context.Context, report Report, fingerprint uint64) error
	// ClearPart records that an engine has written on a part since the first crash that it is blamed for.
	ClearPart(ctx context.Context, part string) error
}

// Session says what is blamed. session.Client implements it.
type Session interface {
	Blames() Blames
	Changed() <-chan struct{}
}

// WitnessConfig configures a Witness.
type WitnessConfig struct {
	Quorum  Quorum
	Session Session
	Logger  *zap.Logger
}

// Witness tells the quorum what an entry sees of crashes: the suspects of each, and that a part is innocent. It is safe
// for concurrent use.
type Witness struct {
	config WitnessConfig

	mu sync.Mutex
	// written has when an engine last began to write on a part, served when a request was last served, by its fingerprint.
	written lastTimes[string]
	served  lastTimes[uint64]
	// cleared holds when each part was last cleared.
	cleared map[string]time.Time
	queue   chan statement
}

// statement is evidence that waits to be sent.
type statement struct {
	send func(ctx context.Context) error
	what string
	made time.Time
}

const (
	// maxStatements bounds the evidence that waits to be sent. During a storm of crashes some of it suffices.
	maxStatements = 64
	// sendTimeout bounds one attempt to send, statementTTL the time for which attempts are repeated.
	sendTimeout  = 3 * time.Second
	statementTTL = 20 * time.Second
	// sendRetryInterval is the time between two attempts.
	sendRetryInterval = 200 * time.Millisecond
	// innocenceTime is how long a request that was served is no suspect of a crash.
	innocenceTime = time.Minute
	// clearInterval is the time after which a part that is still blamed is cleared again.
	clearInterval = time.Second
)

// NewWitness returns a witness. Run sends what it is told.
func NewWitness(config WitnessConfig) *Witness {
	return &Witness{config: config, cleared: make(map[string]time.Time), queue: make(chan statement, maxStatements)}
}

// Run sends evidence to the quorum and compares new blames with what has been written, until ctx ends.
func (w *Witness) Run(ctx context.Context) error {
	sender := task.Start(ctx, w.send)
	for {
		changed := w.config.Session.Changed()
		w.clearInnocent(time.Now())
		select {
		case <-ctx.Done():
			return <-sender
		case <-changed:
		}
	}
}

func (w *Witness) send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-w.queue:
			w.sendStatement(ctx, s)
		}
	}
}

// sendStatement repeats a statement until the quorum has it or it is too old.
func (w *Witness) sendStatement(ctx context.Context, s statement) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, sendTimeout)
		err := s.send(attempt)
		cancel()
		if err == nil {
			return
		}
		if time.Since(s.made) > statementTTL {
			w.config.Logger.Warn("Could not tell the quorum of a crash", zap.String("statement", s.what), zap.Error(err))
			return
		}
		task.Pause(ctx, sendRetryInterval)
	}
}

// RecordServed records that an endpoint has served a request with the given fingerprint.
func (w *Witness) RecordServed(fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.served.record(fingerprint, time.Now())
}

// wasServed reports whether a request with the given fingerprint was served within innocenceTime.
func (w *Witness) wasServed(fingerprint uint64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.served.last(fingerprint)) < innocenceTime
}

// ReportCrash tells the quorum that an endpoint crashed while it ran a request. fingerprint is that of the
// whole request, which is no suspect if it was served shortly before: one that crashes endpoints crashes each that runs it.
func (w *Witness) ReportCrash(report Report, fingerprint uint64) {
	if w.wasServed(fingerprint, time.Now()) {
		fingerprint = NoFingerprint
	}
	if fingerprint == NoFingerprint && len(report.Parts) == 0 {
		w.config.Logger.Info("A request that was running when an endpoint crashed is no suspect", zap.String("endpoint", report.Endpoint))
		return
	}
	w.enqueue("crash of "+report.Endpoint, func(ctx context.Context) error {
		return w.config.Quorum.ReportCrash(ctx, report, fingerprint)
	})
}

// RecordWritten records that an engine has begun to write on a request with the given parts.
func (w *Witness) RecordWritten(parts []string) {
	now := time.Now()
	w.mu.Lock()
	for _, part := range parts {
		w.written.record(part, now)
	}
	w.mu.Unlock()
	blames := w.config.Session.Blames()
	for _, part := range parts {
		if blame, ok := blames[part]; ok {
			w.clear(part, blame, now)
		}
	}
}

// clearInnocent clears the blamed parts that have been written on since the first crash that they are blamed for.
func (w *Witness) clearInnocent(now time.Time) {
	for part, blame := range w.config.Session.Blames() {
		w.clear(part, blame, now)
	}
}

func (w *Witness) clear(part string, blame Interval, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.written.last(part).After(blame.Since) || now.Sub(w.cleared[part]) < clearInterval {
		return
	}
	if len(w.cleared) >= maxStatements {
		clear(w.cleared)
	}
	w.cleared[part] = now
	w.config.Logger.Info("A part of prompts does not crash engines", zap.String("part", part), zap.Duration("blamed-since", now.Sub(blame.Since)))
	w.enqueue("part is innocent", func(ctx context.Context) error { return w.config.Quorum.ClearPart(ctx, part) })
}

// enqueue drops a statement when too many wait.
func (w *Witness) enqueue(what string, send func(ctx context.Context) error) {
	select {
	case w.queue <- statement{send: send, what: what, made: time.Now()}:
	default:
		w.config.Logger.Warn("Too many statements wait for the quorum, dropped one", zap.String("statement", what))
	}
}
