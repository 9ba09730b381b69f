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
	// slicesPerWindow is the number of slices of a window. A count leaves the window at most one slice late.
	slicesPerWindow = 12
	// ringSlots includes a slot for the slice that is being filled, so that the full ones cover a whole window.
	ringSlots = slicesPerWindow + 1
)

// ring counts requests over one window that moves with the time.
type ring struct {
	// newest is the number of the slice being filled, counted from the Unix epoch.
	newest int64
	counts [ringSlots][metricCount]Count
}

// advance clears the slots of the slices that have left the window. A clock that goes back is ignored.
func (r *ring) advance(now time.Time, window time.Duration) {
	slice := now.UnixNano() / int64(window/slicesPerWindow)
	if slice <= r.newest {
		return
	}
	for n := max(r.newest+1, slice-ringSlots+1); n <= slice; n++ {
		r.counts[n%ringSlots] = [metricCount]Count{}
	}
	r.newest = slice
}

func (r *ring) add(m Metric, bad bool) {
	count := &r.counts[r.newest%ringSlots][m]
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
