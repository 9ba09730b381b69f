// Package metrics holds the metrics of a process and serves them in the Prometheus text format,
// together with the health and readiness of the process.
package metrics

import (
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize and reservoirAlpha are the values of the go-metrics examples: a sample biased towards
	// the last five minutes.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	registry gometrics.Registry
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{registry: gometrics.NewRegistry()}
}

// Counter returns the counter with the name and labels (pairs of label and value).
func (r *Registry) Counter(name string, labels ...string) gometrics.Counter {
	return r.registry.GetOrRegister(metricKey(name, labels), gometrics.NewCounter).(gometrics.Counter)
}

// Gauge returns the gauge with the name and labels (pairs of label and value).
func (r *Registry) Gauge(name string, labels ...string) gometrics.Gauge {
	return r.registry.GetOrRegister(metricKey(name, labels), gometrics.NewGauge).(gometrics.Gauge)
}

// Histogram returns the histogram with the name and labels (pairs of label and value).
func (r *Registry) Histogram(name string, labels ...string) gometrics.Histogram {
	return r.registry.GetOrRegister(metricKey(name, labels), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(gometrics.Histogram)
}

// GaugeFunc adds a gauge that is computed at each scrape.
func (r *Registry) GaugeFunc(name string, value func() int64, labels ...string) {
	r.registry.GetOrRegister(metricKey(name, labels), func() gometrics.Gauge {
		return gometrics.NewFunctionalGauge(value)
	})
}

// metricKey returns the name with its labels in Prometheus form, for example requests_total{outcome="ok"}.
func metricKey(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	b.WriteByte('{')
	for pair := range slices.Chunk(labels, 2) {
		if b.Len() > len(name)+1 {
			b.WriteByte(',')
		}
		b.WriteString(pair[0])
		b.WriteString(`="`)
		if len(pair) == 2 {
			b.WriteString(labelEscaper.Replace(pair[1]))
		}
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
