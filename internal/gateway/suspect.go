package gateway

import (
	"net"
	"time"
)

const (
	// deathCheckDelay is the pause before an endpoint whose connection broke is called: a process that ended
	// refuses connections by then.
	deathCheckDelay = 50 * time.Millisecond
	// deathCheckTimeout bounds that call.
	deathCheckTimeout = 300 * time.Millisecond
)

// suspect finds out whether the endpoint of a broken request has died, and reports the request if so. A
// connection that broke while the endpoint lives says nothing about the request.
func (g *Gateway) suspect(x *exchange, hop Hop) {
	if g.config.Crashed == nil {
		return
	}
	time.AfterFunc(deathCheckDelay, func() {
		conn, err := net.DialTimeout("tcp", hop.Address, deathCheckTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		g.config.Crashed(x.fingerprint, hop.Endpoint)
	})
}
