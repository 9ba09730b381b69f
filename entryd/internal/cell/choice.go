package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/logging"
	"github.com/dandelionpier/dandelionpier/internal/session"
	"github.com/dandelionpier/dandelionpier/internal/task"
)

// cellsToCompare is the number of cells that are asked for an estimate of a request. The better of two
// random choices is nearly as good as the best of all (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", 2001).
const cellsToCompare = 2

// selectCell returns the request with its cell set to the one to reserve in, or false when no dispatcher
// of the model's cells replies. A model with one cell needs no estimates. A retry goes to the cell of the
// last attempt, which is the first to know whether the request may run again. The cells in avoidCells did
// not reply or cannot run the request.
func (c *Client) selectCell(ctx context.Context, request dispatch.ReserveRequest, avoidCells []string) (dispatch.ReserveRequest, bool) {
	view, _ := c.config.View()
	count := view.Cells(request.Cell)
	if count == 1 {
		return request, !slices.Contains(avoidCells, request.Cell)
	}
	if tried := len(request.Exclude); tried > 0 && len(avoidCells) == 0 {
		request.Cell = dispatch.CellForEndpoint(request.Cell, request.Exclude[tried-1], count)
		return request, true
	}
	candidates := slices.DeleteFunc(dispatch.CandidateCells(request, count), func(cell string) bool {
		return slices.Contains(avoidCells, cell)
	})
	if len(candidates) == 0 {
		return request, false
	}
	compared := min(cellsToCompare, len(candidates))
	cell, best := c.bestEstimate(ctx, request, candidates[:compared])
	if !best.Usable() && !best.Bound && len(candidates) > compared {
		// None of these cells has an endpoint that can run the request; one of the others may.
		if otherCell, otherBest := c.bestEstimate(ctx, request, candidates[compared:]); otherBest.Better(best) {
			cell, best = otherCell, otherBest
		}
	}
	request.Cell = cell
	return request, best.Status != dispatch.Elsewhere
}

// selectOtherCell returns the request with a cell outside avoidCells and a new attempt ID.
func (c *Client) selectOtherCell(ctx context.Context, request dispatch.ReserveRequest, avoidCells []string, newAttemptID func() string) (dispatch.ReserveRequest, bool) {
	next, ok := c.selectCell(ctx, request, avoidCells)
	if ok {
		next.AttemptID = newAttemptID()
	}
	return next, ok
}

const (
	// largerCellWait is how long a request that is too large for a cell waits for a reply of another one: the time in
	// which a dispatcher that has ended is replaced, and one heartbeat that tells entries so.
	largerCellWait = session.LeaseDuration + session.SkewAllowance + session.HeartbeatInterval
	// largerCellInterval is the time between two questions.
	largerCellInterval = 100 * time.Millisecond
)

// smallCells are the cells of a model that replied that a request is too large for them.
type smallCells struct {
	names []string
	// count is the number of cells of the model. A change of it moves endpoints between cells.
	count int
}

// add adds a cell and reports whether the request is too large for all cells. Cells that did not reply do not count.
func (s *smallCells) add(name string, count int) (all bool) {
	if s.count != count {
		*s = smallCells{count: count}
	}
	s.names = append(s.names, name)
	return len(s.names) >= count
}

// cellCount returns the number of cells of the model of a cell.
func (c *Client) cellCount(cell string) int {
	view, _ := c.config.View()
	return view.Cells(cell)
}

// awaitLargerCell waits until a given time for the dispatcher of a cell outside smallNames, which are too small for the
// request. It returns the request with that cell and a new attempt ID.
func (c *Client) awaitLargerCell(ctx context.Context, request dispatch.ReserveRequest, smallNames []string, waitUntil time.Time, newAttemptID func() string) (dispatch.ReserveRequest, error) {
	for ; ; task.Pause(ctx, largerCellInterval) {
		next, ok := c.selectOtherCell(ctx, request, smallNames, newAttemptID)
		switch {
		case ok:
			return next, nil
		case ctx.Err() != nil:
			return next, contextError(ctx)
		case !time.Now().Before(waitUntil):
			return next, unreachableError(request.Cell)
		}
	}
}

// bestEstimate asks the cells concurrently and returns the one with the best estimate.
func (c *Client) bestEstimate(ctx context.Context, request dispatch.ReserveRequest, cells []string) (string, dispatch.Estimate) {
	estimates := make([]dispatch.Estimate, len(cells))
	var calls sync.WaitGroup
	for i := 1; i < len(cells); i++ {
		calls.Go(func() { estimates[i] = c.requestEstimate(ctx, request, cells[i]) })
	}
	estimates[0] = c.requestEstimate(ctx, request, cells[0])
	calls.Wait()
	bestIndex := 0
	for i, estimate := range estimates {
		if estimate.Better(estimates[bestIndex]) {
			bestIndex = i
		}
	}
	return cells[bestIndex], estimates[bestIndex]
}

// requestEstimate asks the dispatcher of a cell for an estimate. The status is Elsewhere when the
// dispatcher does not reply.
func (c *Client) requestEstimate(ctx context.Context, request dispatch.ReserveRequest, cell string) dispatch.Estimate {
	unavailable := dispatch.Estimate{Status: dispatch.Elsewhere}
	target, ok := c.dispatcher(cell)
	if !ok || c.breaker.skip(target.Instance) {
		return unavailable
	}
	request.Cell = cell
	request.TimeLeft = timeLeft(ctx, request)
	var reply dispatch.Estimate
	err := c.call(ctx, target, acknowledgeTimeout, "Dispatch.Estimate", request, &reply)
	c.breaker.record(target.Instance, err == nil || ctx.Err() != nil)
	if err != nil {
		c.config.Logger.Debug("The dispatcher did not return an estimate", zap.String("cell", cell),
			zap.String(logging.RequestID, request.RequestID), zap.Error(err))
		return unavailable
	}
	return reply
}

// cellsOfEvent returns the cells to which an event is reported: those to which the members of the grant
// belong now. A grant moves with its endpoints when the number of the model's cells changes.
func (c *Client) cellsOfEvent(event dispatch.Event) []string {
	firstCell, _ := dispatch.SplitCell(event.Cell)
	view, _ := c.config.View()
	count := view.Cells(firstCell)
	if len(event.Members) == 0 || count == 1 && event.Cell == firstCell {
		return []string{event.Cell}
	}
	var cells []string
	for _, member := range event.Members {
		if name := dispatch.CellForEndpoint(firstCell, member.Endpoint, count); !slices.Contains(cells, name) {
			cells = append(cells, name)
		}
	}
	return cells
}
