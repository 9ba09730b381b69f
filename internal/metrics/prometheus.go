package metrics

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles are those that are exported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// ServeHTTP responds with all metrics in the Prometheus text format.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = r.WriteText(w)
}

// WriteText writes all metrics in the Prometheus text format, ordered by name.
func (r *Registry) WriteText(w io.Writer) error {
	all := make(map[string]any)
	r.registry.Each(func(name string, metric any) { all[name] = metric })
	out := bufio.NewWriter(w)
	previous := ""
	for _, key := range slices.SortedFunc(maps.Keys(all), compareKeys) {
		name, labels := splitKey(key)
		if name != previous {
			fmt.Fprintf(out, "# TYPE %s %s\n", name, metricType(all[key]))
			previous = name
		}
		writeMetric(out, name, labels, all[key])
	}
	return out.Flush()
}

// compareKeys orders by name, then labels. A comparison of whole keys would not keep the series of one name
// together, since '{' sorts after all letters of metric names.
func compareKeys(a, b string) int {
	nameA, labelsA := splitKey(a)
	nameB, labelsB := splitKey(b)
	if nameA != nameB {
		return strings.Compare(nameA, nameB)
	}
	return strings.Compare(labelsA, labelsB)
}

func splitKey(key string) (name, labels string) {
	name, labels, _ = strings.Cut(key, "{")
	return name, strings.TrimSuffix(labels, "}")
}

func metricType(metric any) string {
	switch metric.(type) {
	case gometrics.Counter:
		return "counter"
	case gometrics.Histogram:
		return "summary"
	default:
		return "gauge"
	}
}

func writeMetric(out *bufio.Writer, name, labels string, metric any) {
	switch m := metric.(type) {
	case gometrics.Counter:
		writeLine(out, name, labels, strconv.FormatInt(m.Count(), 10))
	case gometrics.Gauge:
		writeLine(out, name, labels, strconv.FormatInt(m.Value(), 10))
	case gometrics.Histogram:
		snapshot := m.Snapshot()
		for i, value := range snapshot.Percentiles(quantiles) {
			quantile := `quantile="` + strconv.FormatFloat(quantiles[i], 'g', -1, 64) + `"`
			writeLine(out, name, joinLabels(labels, quantile), strconv.FormatFloat(value, 'g', -1, 64))
		}
		writeLine(out, name+"_sum", labels, strconv.FormatInt(snapshot.Sum(), 10))
		writeLine(out, name+"_count", labels, strconv.FormatInt(snapshot.Count(), 10))
	}
}

func joinLabels(a, b string) string {
	if a == "" {
		return b
	}
	return a + "," + b
}

func writeLine(out *bufio.Writer, name, labels, value string) {
	out.WriteString(name)
	if labels != "" {
		out.WriteString("{" + labels + "}")
	}
	out.WriteString(" " + value + "\n")
}
