package gateway

import "time"

// crashCheckDelay is the delay before connecting to an endpoint whose connection failed. By then, the address of a
// process that has exited refuses connections.
const crashCheckDelay = 50 * time.Millisecond

// reportIfCrashed checks whether the endpoint of a failed request has crashed, and reports the request if so. If the
// endpoint still runs, the failed connection is no evidence against the request.
func (g *Gateway) reportIfCrashed(x *exchange, a *attempt) {
	if g.config.ReportCrash == nil {
		return
	}
	crash := Crash{
		RequestID: x.call.ID, Fingerprint: x.fingerprint, Endpoint: a.outgoing.Endpoint, Parts: x.call.Prompt.Parts, Begun: a.begun,
	}
	address := a.outgoing.Address
	time.AfterFunc(crashCheckDelay, func() {
		if !acceptsConnections(address) {
			g.config.ReportCrash(crash)
		}
	})
}
