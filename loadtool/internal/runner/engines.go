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
	// releaseTimeout is above the TTL of grants (5 s), after which engines must have released all memory.
	releaseTimeout  = 7 * time.Second
	releaseInterval = 100 * time.Millisecond
)

// totals counts the tokens that an engine has processed since its start.
type totals struct {
	Prefill int `json:"prefill"`
	Output  int `json:"output"`
	Cached  int `json:"cached"`
	Wasted  int `json:"wasted"`
	// Early lists the attempts that ended early, in the order in which they ended.
	Early []early `json:"early"`
}

// early is an attempt that ended before it completed. Started means that it had sent its first token.
type early struct {
	RequestID string `json:"request-id"`
	Started   bool   `json:"started"`
	Tokens    int    `json:"tokens"`
}

// engineClient reads the totals and the state of stand-in engines.
type engineClient struct {
	client    *http.Client
	addresses []string
}

func (e engineClient) get(ctx context.Context, address, path string, target any) (err error) {
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
		return fmt.Errorf("%s%s responded with status %d", address, path, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(target)
}

func (e engineClient) totals(ctx context.Context) ([]totals, error) {
	list := make([]totals, len(e.addresses))
	for i, address := range e.addresses {
		if err := e.get(ctx, address, "/standin/totals", &list[i]); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// awaitRelease waits until all engines have released their memory or releaseTimeout has passed, and returns
// the tokens that are still in use.
func (e engineClient) awaitRelease(ctx context.Context) (int, error) {
	deadline := time.Now().Add(releaseTimeout)
	for {
		used := 0
		for _, address := range e.addresses {
			var state endpoint.PlatformState
			if err := e.get(ctx, address, "/platform/state", &state); err != nil {
				return 0, err
			}
			used += state.Used
		}
		if used == 0 || time.Now().After(deadline) {
			return used, nil
		}
		if !sleepUntil(ctx, time.Now().Add(releaseInterval)) {
			return used, ctx.Err()
		}
	}
}

const (
	// causeReplaced is the cause of waste if another attempt completed the request, causeNoResponse if the
	// caller got no response.
	causeReplaced   = "replaced"
	causeNoResponse = "unanswered"
)

// addWork adds the work of the engines between two readings of their totals to a run. The reasons are those
// of the requests that got a response, by request id.
func addWork(run *report.Run, before, after []totals, reasons map[string]string) {
	run.WastedBy = make(map[string]int)
	totalPrefill, largestPrefill := 0, 0
	for i := range after {
		enginePrefill := after[i].Prefill - before[i].Prefill
		totalPrefill += enginePrefill
		largestPrefill = max(largestPrefill, enginePrefill)
		run.Computed += enginePrefill + after[i].Output - before[i].Output
		run.Cached += after[i].Cached - before[i].Cached
		run.Wasted += after[i].Wasted - before[i].Wasted
		for _, attempt := range after[i].Early[len(before[i].Early):] {
			run.WastedBy[attempt.cause(reasons)] += attempt.Tokens
		}
	}
	if totalPrefill > 0 {
		run.Imbalance = float64(largestPrefill) * float64(len(after)) / float64(totalPrefill)
	}
}

// cause returns the outcome of the request of the attempt and the progress of the attempt.
func (e early) cause(reasons map[string]string) string {
	cause, responded := reasons[e.RequestID]
	switch {
	case !responded:
		cause = causeNoResponse
	case cause == "":
		cause = causeReplaced
	}
	if e.Started {
		return cause + " after first token"
	}
	return cause + " in prefill"
}
