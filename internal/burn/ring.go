package burn

import "time"

// Count is a number of requests and how many of them missed the objective.
type Count struct {
	Total uint32 `json:"total"`
	Bad   uint32 `json:"bad"`
}

func (c Count) plus(other Count) Count {
	return Count{Total: c.Total + other.Total, Bad: c.Bad + other.Bad}
}

const (
	// slicesPerWindow divides a window; a count leaves the window late by at most one slice.
	slicesPerWindow = 12
	// cells hold the slices and the one that is being filled, so that a whole window is covered.
	cells = slicesPerWindow + 1
)

// ring counts over one window.
type ring struct {
	// newest is the number of the slice being filled, counted from the Unix epoch.
	newest int64
	counts [cells][metrics]Count
}

// advance empties the cells whose slices have left the window. A clock that goes back is ignored.
func (r *ring) advance(now time.Time, window time.Duration) {
	slice := now.UnixNano() / int64(window/slicesPerWindow)
	if slice <= r.newest {
		return
	}
	for n := max(r.newest+1, slice-cells+1); n <= slice; n++ {
		r.counts[n%cells] = [metrics]Count{}
	}
	r.newest = slice
}

func (r *ring) add(m Metric, bad bool) {
	count := &r.counts[r.newest%cells][m]
	count.Total++
	if bad {
		count.Bad++
	}
}

func (r *ring) sum(m Metric) Count {
	var total Count
	for i := range r.counts {
		total = total.plus(r.counts[i][m])
	}
	return total
}
