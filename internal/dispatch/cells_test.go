package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/matryer/is"
)

// cellGroup has all cells of a model and uses them as entries do. Messages between cells are delivered with
// the next call at a later time.
type cellGroup struct {
	config Config
	cells  map[string]*cell
	// count is the number of cells, candidates the number of cells that a request asks for an estimate.
	count, candidates int
	candidateOrder    func(request ReserveRequest, count int) []string
	cellOfAttempt     map[string]string
	undelivered       []ShareRequest
	sentAt            time.Time
}

func newCellGroup(count int) *cellGroup {
	g := &cellGroup{config: testConfig(), count: count, candidates: 2, candidateOrder: CandidateCells, cells: map[string]*cell{}, cellOfAttempt: map[string]string{}}
	g.config.CellCount = func(string) int { return g.count }
	return g
}

func (g *cellGroup) cell(now time.Time, name string) *cell {
	if g.cells[name] == nil {
		g.cells[name] = newCell(name, &g.config, now)
	}
	return g.cells[name]
}

// deliverShares delivers the messages sent earlier and collects those that the cells send now.
func (g *cellGroup) deliverShares(now time.Time) {
	if now.After(g.sentAt) {
		messages := g.undelivered
		g.undelivered = nil
		for _, message := range messages {
			g.cell(now, message.Cell).applyShare(now, message)
		}
	}
	for _, name := range allKeys(g.cells) {
		c := g.cells[name]
		for _, next := range c.pendingCalls {
			if share, ok := next.(shareCall); ok {
				g.undelivered, g.sentAt = append(g.undelivered, share.request), now
			}
		}
		c.pendingCalls = nil
	}
}

func (g *cellGroup) choose(now time.Time, request ReserveRequest) string {
	if g.count == 1 {
		return testCell
	}
	if tried := len(request.Exclude); tried > 0 {
		return CellForEndpoint(testCell, request.Exclude[tried-1], g.count)
	}
	names := g.candidateOrder(request, g.count)
	best, bestEstimate := "", Estimate{}
	for _, name := range names[:min(g.candidates, len(names))] {
		if estimate := g.cell(now, name).estimate(now, request); best == "" || estimate.Better(bestEstimate) {
			best, bestEstimate = name, estimate
		}
	}
	return best
}

func (g *cellGroup) reserve(now time.Time, request ReserveRequest) ReserveReply {
	defer g.deliverShares(now)
	request.Cell = g.choose(now, request)
	g.cellOfAttempt[request.AttemptID] = request.Cell
	return g.cell(now, request.Cell).reserve(now, request)
}

func (g *cellGroup) endAwait(now time.Time, attempt string, began bool) ReserveReply {
	defer g.deliverShares(now)
	return g.cell(now, g.cellOfAttempt[attempt]).endAwait(now, attempt, began)
}

func (g *cellGroup) report(now time.Time, event Event) {
	defer g.deliverShares(now)
	g.cell(now, g.cellOfAttempt[event.Grant]).report(now, event)
}

func (g *cellGroup) announce(now time.Time, a endpoint.Announcement) {
	defer g.deliverShares(now)
	g.cell(now, CellForEndpoint(testCell, a.Name, g.count)).announce(now, a)
}

func (g *cellGroup) tick(now time.Time) {
	for _, name := range allKeys(g.cells) {
		g.cells[name].tick(now)
	}
	g.deliverShares(now)
}

// Guards against endpoints that move between existing cells when a cell is added, and against cell names
// from which the model's first cell cannot be derived.
func TestAddedCellMovesFewEndpoints(t *testing.T) {
	is := is.New(t)
	for count := 1; count < 12; count++ {
		names := CellNames(testCell, count+1)
		for i := range 400 {
			name := engine(i, 0).Name
			before, after := CellForEndpoint(testCell, name, count), CellForEndpoint(testCell, name, count+1)
			is.True(after == before || after == names[count])
		}
	}
	for i, name := range CellNames("org/oak/north", 3) {
		first, number := SplitCell(name)
		is.Equal(first, "org/oak/north")
		is.Equal(number, i)
	}
}

// Guards against copies of a request that are spread over all cells, and against prompts with a common
// prefix that do not get the same first cell.
func TestCandidates(t *testing.T) {
	is := is.New(t)
	homes := map[string]bool{}
	for i := range 50 {
		r := request(fmt.Sprint("r", i), 5000, 10)
		r.Fingerprint, r.Blocks = uint64(1+i), []uint64{7, uint64(i)}
		ranked := CandidateCells(r, 4)
		is.Equal(len(slices.Compact(slices.Sorted(slices.Values(ranked)))), 4)
		homes[ranked[0]] = true
		r.RequestID = "copy"
		is.Equal(CandidateCells(r, 4), ranked)
	}
	is.Equal(len(homes), 1)
	is.Equal(CandidateCells(request("r", 1, 1), 1), []string{testCell})
}

// Guards against a request that crashes more endpoints when its copies reach several cells instead of one,
// and against other requests that are lost with it. Without messages between the cells there are 4 deaths.
func TestCrashingRequestAcrossCells(t *testing.T) {
	for name, restart := range map[string]time.Duration{
		"engines stay dead":                     0,
		"engines restart within a second":       500 * time.Millisecond,
		"engines restart after they count dead": 4 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newCellGroup(2)
			calls := 0
			g.candidateOrder = func(request ReserveRequest, count int) []string {
				names := CellNames(testCell, count)
				if calls++; calls%2 == 0 {
					slices.Reverse(names) // as different loads of the cells would order them
				}
				return names
			}
			s := &crashScenario{dispatcher: g, restart: restart}
			for i := range 8 {
				s.engines = append(s.engines, engine(i, 100_000))
			}
			s.run()
			t.Logf("deaths %d, fewest alive %d, attempts %d", s.deaths, s.fewestAlive, s.attempts)
			is.Equal(len(g.cells), 2)
			is.True(s.deaths <= 2)
			is.Equal(s.unfinished(), 0)
			for _, c := range g.cells {
				is.True(c.quarantined(s.now, crashingFingerprint))
				is.Equal(len(c.suspects.byFingerprint), 0)
			}
		})
	}
}

// floodedTTFTs returns the 95th percentiles of the time to first token, in seconds, of a polite workspace that
// uses an eighth of the capacity and of one that asks for twice the capacity at the same time.
func floodedTTFTs(cells int) (polite, flood float64) {
	s := newSimulation(cells, 8, 1)
	ttfts := map[string][]float64{}
	s.onFirstToken = func(r *simRequest, ttft float64) { ttfts[r.Workspace] = append(ttfts[r.Workspace], ttft) }
	count := 0
	startWorkspace := func(workspace string, rate float64) {
		var arrive func()
		arrive = func() {
			count++
			r := request(fmt.Sprint("r", count), 2000, simOutputTokens)
			r.Workspace, r.TimeLeft, r.Fingerprint = workspace, 10*time.Second, uint64(count)
			s.arrive(r)
			s.schedule(seconds(s.random.ExpFloat64()/rate), arrive)
		}
		s.schedule(0, arrive)
	}
	s.run(2 * time.Second)
	startWorkspace("polite", 5)
	startWorkspace("flood", 80)
	s.run(8 * time.Second)
	return percentile(ttfts["polite"], 0.95), percentile(ttfts["flood"], 0.95)
}

// Guards against a workspace that fills the queues of all cells and so delays another workspace more than
// it would in a single cell.
func TestFairnessAcrossCells(t *testing.T) {
	is := is.New(t)
	single, _ := floodedTTFTs(1)
	polite, flood := floodedTTFTs(2)
	t.Logf("p95 of the polite workspace %.2f s in one cell, %.2f s in two; of the flooding one %.2f s", single, polite, flood)
	is.True(polite <= 1.5*single)
	is.True(flood >= 2*polite)
}
