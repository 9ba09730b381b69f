package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dandelionpier/dandelionpier/internal/control"
)

// BenchmarkVanishedLeader measures, with real processes, the time after the control leader becomes
// unreachable without closing its connections: until another leader replies to a query, and until a booking
// through an entry succeeds, which needs the entry's lease and a commit. "stopped" is SIGSTOP: the kernel
// still acknowledges what is sent. "cut" forwards nothing; connections are accepted but no reply arrives.
// "unheard" forwards the leader's own calls only, so that it keeps running but nobody can reach it.
func BenchmarkVanishedLeader(b *testing.B) {
	for _, kind := range []string{"stopped", "cut", "unheard"} {
		b.Run(kind, func(b *testing.B) {
			d := deploy(b, deploymentSize{controls: 3, entries: 2, engines: 1, services: 1, relayed: true})
			elected, booked := hdrhistogram.New(1, 60_000, 3), hdrhistogram.New(1, 60_000, 3)
			refusals := 0
			for n := range b.N {
				d.awaitReachedVoters(3)
				oldLeader := d.leader()
				name := fmt.Sprint("control-", oldLeader)
				switch kind {
				case "stopped":
					d.signal(name, syscall.SIGSTOP)
				case "cut":
					d.relays.cut(func(f flow) bool { return f.source == name || f.target == name }, "")
				case "unheard":
					d.relays.cut(func(f flow) bool { return f.target == name }, "")
				}
				start := time.Now()
				otherLeads := make(chan struct{})
				go func() {
					defer close(otherLeads)
					d.awaitOtherLeader(oldLeader)
					_ = elected.RecordValue(time.Since(start).Milliseconds())
				}()
				for i := 0; ; i++ {
					reference := fmt.Sprintf("job-%d-%d", n, i)
					result := d.call(context.Background(), d.callers[n%2], http.MethodPost, "/v1/services/"+service+"/jobs",
						`{"reference":"`+reference+`"}`, map[string]string{"Idempotency-Key": reference})
					if strings.Contains(result.body, "lease-expired") {
						refusals++
					}
					if result.err == nil {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
				_ = booked.RecordValue(time.Since(start).Milliseconds())
				<-otherLeads
				d.relays.heal()
				if kind == "stopped" {
					d.signal(name, syscall.SIGCONT)
				}
			}
			for unit, h := range map[string]*hdrhistogram.Histogram{"elected": elected, "booked": booked} {
				b.ReportMetric(float64(h.ValueAtQuantile(50)), unit+"-p50-ms")
				b.ReportMetric(float64(h.Max()), unit+"-max-ms")
			}
			b.ReportMetric(float64(refusals), "lease-refusals")
		})
	}
}

// awaitOtherLeader asks the other control instances directly until one of them leads.
func (d *deployment) awaitOtherLeader(oldLeader int) {
	for {
		for i, address := range d.controls {
			if i == oldLeader {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			var reply control.QueryReply
			err := d.pool.Call(ctx, address, "Commands.Query", control.QueryRequest{}, &reply)
			cancel()
			if err == nil && !reply.NotLeader {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}
