package cell

import (
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/dispatch"
	"github.com/dandelionpier/dandelionpier/internal/logging"
)

// asked is the number of cells that are asked for an estimate of a request. The better of two random
// choices is nearly as good as the best of all (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001).
const asked = 2

// aim returns the request with the cell to reserve in, and false when no dispatcher of the model's cells
// answers. A model with one cell needs no estimates. A request that has been tried goes back to the cell
// of the last try, which knows before any other cell whether it may run again. Cells to avoid have not
// answered or cannot run the request.
func (c *Client) aim(ctx context.Context, request dispatch.ReserveRequest, avoid []string) (dispatch.ReserveRequest, bool) {
	view, _ := c.config.View()
	count := view.Cells(request.Cell)
	if count == 1 {
		return request, !slices.Contains(avoid, request.Cell)
	}
	if tried := len(request.Exclude); tried > 0 && len(avoid) == 0 {
		request.Cell = dispatch.CellForEndpoint(request.Cell, request.Exclude[tried-1], count)
		return request, true
	}
	candidates := slices.DeleteFunc(dispatch.CandidateCells(request, count), func(name string) bool {
		return slices.Contains(avoid, name)
	})
	if len(candidates) == 0 {
		return request, false
	}
	first := min(asked, len(candidates))
	name, offer := c.best(ctx, request, candidates[:first])
	if !offer.Usable() && !offer.Bound && len(candidates) > first {
		// Neither has an endpoint that can run the request; one of the others may.
		if other, better := c.best(ctx, request, candidates[first:]); better.Better(offer) {
			name, offer = other, better
		}
	}
	request.Cell = name
	return request, offer.Status != dispatch.Elsewhere
}

// another returns the request, as a new attempt, with a cell that is not to be avoided.
func (c *Client) another(ctx context.Context, request dispatch.ReserveRequest, avoid []string, newAttempt func() string) (dispatch.ReserveRequest, bool) {
	next, ok := c.aim(ctx, request, avoid)
	if ok {
		next.AttemptID = newAttempt()
	}
	return next, ok
}

// best asks the cells at once and returns that with the best estimate.
func (c *Client) best(ctx context.Context, request dispatch.ReserveRequest, cells []string) (string, dispatch.Estimate) {
	estimates := make([]dispatch.Estimate, len(cells))
	var calls sync.WaitGroup
	for i := 1; i < len(cells); i++ {
		calls.Go(func() { estimates[i] = c.estimate(ctx, request, cells[i]) })
	}
	estimates[0] = c.estimate(ctx, request, cells[0])
	calls.Wait()
	best := 0
	for i, estimate := range estimates {
		if estimate.Better(estimates[best]) {
			best = i
		}
	}
	return cells[best], estimates[best]
}

// estimate returns Elsewhere for a cell whose dispatcher does not answer.
func (c *Client) estimate(ctx context.Context, request dispatch.ReserveRequest, name string) dispatch.Estimate {
	silent := dispatch.Estimate{Status: dispatch.Elsewhere}
	target, ok := c.dispatcher(name)
	if !ok || c.silence.skip(target.Instance) {
		return silent
	}
	request.Cell = name
	request.TimeLeft = timeLeft(ctx, request)
	var reply dispatch.Estimate
	err := c.call(ctx, target, acknowledgeTimeout, "Dispatch.Estimate", request, &reply)
	c.silence.note(target.Instance, err == nil || ctx.Err() != nil)
	if err != nil {
		c.config.Logger.Debug("The dispatcher gave no estimate", zap.String("cell", name),
			zap.String(logging.RequestID, request.RequestID), zap.Error(err))
		return silent
	}
	return reply
}

// cellsOfEvent names the cells that an event concerns: those to which the members of the grant belong
// now. A grant follows its endpoints when the number of the model's cells changes.
func (c *Client) cellsOfEvent(event dispatch.Event) []string {
	first, _ := dispatch.SplitCell(event.Cell)
	view, _ := c.config.View()
	count := view.Cells(first)
	if len(event.Members) == 0 || count == 1 && event.Cell == first {
		return []string{event.Cell}
	}
	var cells []string
	for _, member := range event.Members {
		if name := dispatch.CellForEndpoint(first, member.Endpoint, count); !slices.Contains(cells, name) {
			cells = append(cells, name)
		}
	}
	return cells
}
