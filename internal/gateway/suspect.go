package gateway

import "time"

// deathCheckDelay is the pause before an endpoint whose connection broke is called: a process that ended
// refuses connections by then.
const deathCheckDelay = 50 * time.Millisecond

// suspect finds out whether the endpoint of a broken request has died, and reports the request if so. A
// connection that broke while the endpoint lives says nothing about the request.
func (g *Gateway) suspect(x *exchange, hop Hop) {
	if g.config.Crashed == nil {
		return
	}
	time.AfterFunc(deathCheckDelay, func() {
		if !accepts(hop.Address) {
			g.config.Crashed(x.fingerprint, hop.Endpoint)
		}
	})
}
