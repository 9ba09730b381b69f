package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// simRequest is a request of the routing simulation.
type simRequest struct {
	ReserveRequest
	arrived   time.Time
	grant     Grant
	remaining float64
	cached    int
}

// chunkEngine simulates an engine that runs prefills in chunks by priority and has an LRU prefix cache.
type chunkEngine struct {
	announcement endpoint.Announcement
	prefills     []*simRequest
	busy         bool
	lastUse      map[uint64]int
	uses         int
}

const (
	simEnginePrefillRate = 10_000.0
	chunkTokens          = 2048.0
	simCacheBlocks       = 500
	simOutputTokens      = 95
)

// lookup returns the number of leading blocks that are cached, and adds all blocks to the cache.
func (e *chunkEngine) lookup(blocks []uint64) (cachedBlocks int) {
	for cachedBlocks < len(blocks) && e.lastUse[blocks[cachedBlocks]] > 0 {
		cachedBlocks++
	}
	for _, block := range blocks {
		e.uses++
		e.lastUse[block] = e.uses
	}
	if len(e.lastUse) > simCacheBlocks {
		order := make([]uint64, 0, len(e.lastUse))
		for block := range e.lastUse {
			order = append(order, block)
		}
		slices.SortFunc(order, func(a, b uint64) int { return cmp.Compare(e.lastUse[a], e.lastUse[b]) })
		for _, block := range order[:len(order)-simCacheBlocks*9/10] {
			delete(e.lastUse, block)
		}
	}
	return cachedBlocks
}

type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type simEvents []simEvent

func (s simEvents) Len() int { return len(s) }
func (s simEvents) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].sequence < s[j].sequence
}
func (s simEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)   { *s = append(*s, x.(simEvent)) }
func (s *simEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simulation runs requests through the cells of a model in virtual time.
type simulation struct {
	group    *cellGroup
	now      time.Time
	events   simEvents
	sequence int
	random   *rand.Rand
	engines  map[string]*chunkEngine
	waiting  []*simRequest
	// ttfts has the times to first token in seconds by length class.
	ttfts                               [lengthClassCount][]float64
	promptTokens, cachedTokens, refused int
	// onFirstToken is called at each first token with the time to first token in seconds.
	onFirstToken func(r *simRequest, ttft float64)
}

func newSimulation(cells, replicas int, seed uint64) *simulation {
	s := &simulation{
		group: newCellGroup(cells), now: epoch, random: rand.New(rand.NewPCG(seed, 1)),
		engines: map[string]*chunkEngine{},
	}
	for i := range replicas {
		e := &chunkEngine{announcement: engine(i, 1_000_000), lastUse: map[uint64]int{}}
		s.engines[e.announcement.Name] = e
		s.schedule(time.Duration(i)*time.Second/time.Duration(replicas), func() { s.announce(e) })
	}
	s.schedule(100*time.Millisecond, s.tick)
	return s
}

func (s *simulation) schedule(after time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: s.now.Add(after), sequence: s.sequence, run: run})
}

func (s *simulation) announce(e *chunkEngine) {
	s.group.announce(s.now, e.announcement)
	s.schedule(time.Second, func() { s.announce(e) })
}

func (s *simulation) tick() {
	s.group.tick(s.now)
	s.schedule(100*time.Millisecond, s.tick)
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); len(s.events) > 0 && s.events[0].at.Before(end); {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
		s.handleResolved()
	}
}

// handleResolved starts the queued requests that have been granted.
func (s *simulation) handleResolved() {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *simRequest) bool {
		return s.handleReply(r, s.group.endAwait(s.now, r.AttemptID, false))
	})
}

func (s *simulation) handleReply(r *simRequest, reply ReserveReply) (done bool) {
	switch reply.Status {
	case Granted:
		r.grant = reply.Grant
		s.start(r)
	case Refused:
		s.refused++
	}
	return reply.Status != Queued
}

func (s *simulation) arrive(r ReserveRequest) {
	request := &simRequest{ReserveRequest: r, arrived: s.now}
	if !s.handleReply(request, s.group.reserve(s.now, r)) {
		s.waiting = append(s.waiting, request)
	}
}

func (s *simulation) start(r *simRequest) {
	e := s.engines[r.grant.Members[0].Endpoint]
	r.cached = min(e.lookup(r.Blocks)*prefix.BlockTokens, r.PromptTokens-1)
	r.remaining = float64(r.PromptTokens - r.cached)
	e.prefills = append(e.prefills, r)
	if !e.busy {
		s.runChunk(e)
	}
}

func (s *simulation) runChunk(e *chunkEngine) {
	e.busy = len(e.prefills) > 0
	if !e.busy {
		return
	}
	r := slices.MinFunc(e.prefills, func(a, b *simRequest) int { return cmp.Compare(a.grant.Priority, b.grant.Priority) })
	tokens := min(r.remaining, chunkTokens)
	s.schedule(seconds(tokens/simEnginePrefillRate), func() {
		if r.remaining -= tokens; r.remaining <= 0 {
			e.prefills = slices.DeleteFunc(e.prefills, func(other *simRequest) bool { return other == r })
			s.finishPrefill(r)
		}
		s.runChunk(e)
	})
}

func (s *simulation) finishPrefill(r *simRequest) {
	ttft := s.now.Sub(r.arrived).Seconds()
	class := LengthClassOf(r.PromptTokens)
	s.ttfts[class] = append(s.ttfts[class], ttft)
	if s.onFirstToken != nil {
		s.onFirstToken(r, ttft)
	}
	s.promptTokens += r.PromptTokens
	s.cachedTokens += r.cached
	event := Event{Grant: r.grant.ID, Type: FirstToken, Elapsed: s.now.Sub(r.arrived)}
	s.group.report(s.now, event)
	s.schedule(simOutputTokens*time.Second/30, func() {
		event.Type, event.CachedTokens, event.OutputTokens = Finished, r.cached, simOutputTokens
		s.group.report(s.now, event)
	})
}

// documentWorkload generates prompts that begin with one of 512 documents of 4 to 60 blocks, with a Zipf
// distribution, short prompts, and prompts of more than 100,000 tokens (1 in 50).
func (s *simulation) documentWorkload(rate float64) func() {
	zipf := rand.NewZipf(s.random, 1.1, 4, 511)
	count := 0
	var arrive func()
	arrive = func() {
		count++
		id := fmt.Sprint("r", count)
		r := request(id, 500+s.random.IntN(3500), simOutputTokens)
		r.Fingerprint = uint64(count)
		switch kind := s.random.Float64(); {
		case kind < 0.02:
			r.PromptTokens = 100_001 + s.random.IntN(200_000)
		case kind < 0.7:
			document := zipf.Uint64() + 1
			for i := range 4 + document*7919%57 {
				r.Blocks = append(r.Blocks, document<<32+i)
			}
			r.PromptTokens += len(r.Blocks) * prefix.BlockTokens
		}
		s.arrive(r)
		s.schedule(seconds(s.random.ExpFloat64()/rate), arrive)
	}
	return arrive
}

func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// BenchmarkRouting compares 128 replicas in one cell with the same replicas in several, at two request rates
// and with three seeds. It simulates 30 s of warm-up and 60 s of measurement, and reports times to first
// token in milliseconds. In the names of the cases, home is the first candidate cell, in which the
// prefix is cached.
func BenchmarkRouting(b *testing.B) {
	random := func(request ReserveRequest, count int) []string {
		request.Blocks = nil
		return CandidateCells(request, count)
	}
	for _, rate := range []float64{45, 60} {
		for _, policy := range []struct {
			name              string
			cells, candidates int
			order             func(ReserveRequest, int) []string
		}{
			{"one cell", 1, 1, CandidateCells},
			{"four cells, better of home and random", 4, 2, CandidateCells},
			{"thirteen cells, better of home and random", 13, 2, CandidateCells},
			{"four cells, better of two random", 4, 2, random},
			{"four cells, best of all", 4, 4, CandidateCells},
			{"four cells, home", 4, 1, CandidateCells},
			{"four cells, one random", 4, 1, random},
		} {
			b.Run(fmt.Sprintf("%s/rate=%.0f", policy.name, rate), func(b *testing.B) {
				for b.Loop() {
					var ttfts [lengthClassCount][]float64
					var prompt, cached, refused int
					for seed := range uint64(3) {
						s := newSimulation(policy.cells, 128, seed)
						s.group.candidates, s.group.candidateOrder = policy.candidates, policy.order
						s.run(2 * time.Second)
						s.schedule(0, s.documentWorkload(rate))
						s.run(28 * time.Second)
						s.ttfts, s.promptTokens, s.cachedTokens = [lengthClassCount][]float64{}, 0, 0
						s.run(60 * time.Second)
						for class, values := range s.ttfts {
							ttfts[class] = append(ttfts[class], values...)
						}
						prompt, cached, refused = prompt+s.promptTokens, cached+s.cachedTokens, refused+s.refused
					}
					for class, values := range ttfts {
						b.ReportMetric(percentile(values, 0.95)*1000, LengthClass(class).String()+"-p95")
						if LengthClass(class) != Long {
							b.ReportMetric(percentile(values, 0.5)*1000, LengthClass(class).String()+"-p50")
						}
					}
					b.ReportMetric(100*float64(cached)/float64(prompt), "%cached")
					b.ReportMetric(float64(refused), "refused")
				}
			})
		}
	}
}
