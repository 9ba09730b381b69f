package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/loadtool/internal/report"
)

const (
	engineTimeout = 5 * time.Second
	// heldTimeout is above the TTL of grants (5 s), after which nothing may be held any more.
	heldTimeout  = 7 * time.Second
	heldInterval = 100 * time.Millisecond
)

// totals is the work of an engine since its start.
type totals struct {
	Prefill int `json:"prefill"`
	Output  int `json:"output"`
	Cached  int `json:"cached"`
	Wasted  int `json:"wasted"`
	// Early has the attempts that ended early in the order of their ends.
	Early []early `json:"early"`
}

type early struct {
	RequestID string `json:"request-id"`
	Started   bool   `json:"started"`
	Tokens    int    `json:"tokens"`
}

// engines reads the figures of stand-in engines.
type engines struct {
	client    *http.Client
	addresses []string
}

func (e engines) get(ctx context.Context, address, path string, target any) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered with status %d", address, path, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(target)
}

func (e engines) totals(ctx context.Context) ([]totals, error) {
	list := make([]totals, len(e.addresses))
	for i, address := range e.addresses {
		if err := e.get(ctx, address, "/standin/totals", &list[i]); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// held returns the memory in use at all engines once it is 0 or heldTimeout has passed.
func (e engines) held(ctx context.Context) (int, error) {
	deadline := time.Now().Add(heldTimeout)
	for {
		sum := 0
		for _, address := range e.addresses {
			var state endpoint.PlatformState
			if err := e.get(ctx, address, "/platform/state", &state); err != nil {
				return 0, err
			}
			sum += state.Used
		}
		if sum == 0 || time.Now().After(deadline) {
			return sum, nil
		}
		if !sleepUntil(ctx, time.Now().Add(heldInterval)) {
			return sum, ctx.Err()
		}
	}
}

const (
	// replaced is the cause of waste of a request that another attempt completed, unanswered that of a
	// request whose caller got no response.
	replaced   = "replaced"
	unanswered = "unanswered"
)

// addWork adds what the engines did between two readings of their totals. The reasons are those of the
// requests that were answered, by request id.
func addWork(run *report.Run, before, after []totals, reasons map[string]string) {
	run.WastedBy = make(map[string]int)
	prefill, largest := 0, 0
	for i := range after {
		mine := after[i].Prefill - before[i].Prefill
		prefill += mine
		largest = max(largest, mine)
		run.Computed += mine + after[i].Output - before[i].Output
		run.Cached += after[i].Cached - before[i].Cached
		run.Wasted += after[i].Wasted - before[i].Wasted
		for _, attempt := range after[i].Early[len(before[i].Early):] {
			run.WastedBy[attempt.cause(reasons)] += attempt.Tokens
		}
	}
	if prefill > 0 {
		run.Imbalance = float64(largest) * float64(len(after)) / float64(prefill)
	}
}

// cause is what became of the request of the attempt, and how far the attempt came.
func (e early) cause(reasons map[string]string) string {
	cause, answered := reasons[e.RequestID]
	switch {
	case !answered:
		cause = unanswered
	case cause == "":
		cause = replaced
	}
	if e.Started {
		return cause + " after first token"
	}
	return cause + " in prefill"
}
