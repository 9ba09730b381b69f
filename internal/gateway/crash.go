package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/crash"
	"github.com/dandelionpier/dandelionpier/internal/logging"
)

// crashCheckDelay is the delay before connecting to an endpoint whose connection failed. By then, the address of a
// process that has exited refuses connections.
const crashCheckDelay = 50 * time.Millisecond

// reportIfCrashed checks whether the endpoint of a failed request has crashed. If the endpoint still runs, the failed
// connection is no evidence against the request. Neither is the end of an endpoint that was leaving: it cuts the streams
// that take longer than it stays.
func (g *Gateway) reportIfCrashed(x *exchange, a *attempt) {
	ended := time.Now()
	withdrawn, _ := g.config.Fleet.Withdrawn(a.outgoing.Endpoint, a.outgoing.Started)
	wasLeaving := withdrawn || a.leaving
	time.AfterFunc(crashCheckDelay, func() {
		if acceptsConnections(a.outgoing.Address) {
			return
		}
		x.log.Info("An endpoint died while it ran a request", zap.String(logging.Endpoint, a.outgoing.Endpoint),
			zap.Uint64("fingerprint", x.fingerprint), zap.Bool("begun", a.begun), zap.Bool("leaving", wasLeaving), zap.Strings("parts", x.parts))
		if a.begun && wasLeaving {
			return
		}
		report := crash.Report{Endpoint: a.outgoing.Endpoint, Started: a.outgoing.Started, Parts: x.parts}
		if a.begun {
			// The engine has written on the parts of the prompt, so that they are no suspects.
			report.Parts, report.Stream = nil, &crash.Stream{Sent: a.started, Ended: ended}
		}
		g.config.Witness.ReportCrash(report, x.fingerprint)
	})
}

// refuseCrashing returns a refusal for a request that crashes endpoints, as a whole or by a part of its prompt, or nil.
func (g *Gateway) refuseCrashing(x *exchange, now time.Time) *Refusal {
	if !g.config.Fleet.Quarantined(x.fingerprint) {
		return g.refuseBlamed(x, now)
	}
	const message = "the request crashes endpoints"
	if x.possibleRuns > 0 {
		return pointer(mayHaveRun(message))
	}
	return pointer(notRun(message, quarantineRetryAfter))
}

// quarantineRetryAfter is for requests that are quarantined because they crash endpoints.
const quarantineRetryAfter = time.Minute

// refuseBlamed returns a refusal for a prompt with a part that is blamed for crashes of engines, or nil.
func (g *Gateway) refuseBlamed(x *exchange, now time.Time) *Refusal {
	part, until, refused := g.config.Fleet.Blames().Refused(x.parts, now)
	if !refused {
		return nil
	}
	message := fmt.Sprintf("part %q of the prompt crashes endpoints", part)
	if x.possibleRuns > 0 {
		return pointer(mayHaveRun(message))
	}
	return pointer(notRun(message, until.Sub(now)))
}
