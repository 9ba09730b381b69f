package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// fleetSimulation runs the load of experiments/mixed.yaml against a cell in virtual time. Engines work in
// steps as docs/standin.md describes; load reports and events are delayed as in runs with real processes.
type fleetSimulation struct {
	fleetParameters
	cell    *cell
	now     time.Time
	timers  timerQueue
	engines map[string]*simEngine
	jobs    map[string]*simJob
	// waiting has the jobs without a grant.
	waiting map[string]*simJob
}

// fleetParameters configures a fleetSimulation. Times are simulated; the cell sees them divided by speed, as
// in runs with real processes.
type fleetParameters struct {
	settings    Settings
	engines     int
	speed       float64
	utilisation float64
	seconds     float64
	warmUp      float64
	timeLimit   float64
	withoutLong bool
	seed        uint64
}

const (
	simPrefillRate, simDecodeRate, simChunk, simMemory = 10_000.0, 30.0, 2048, 400_000
	// networkDelay is the one-way delay between two processes, reportDelay the time until an entry reports an
	// event.
	networkDelay = time.Millisecond / 2
	reportDelay  = 20 * time.Millisecond
)

// simWorkspaces has the share of each workspace in the requests, in percent, and the length in tokens of the
// prefix that its prompts have in common.
var simWorkspaces = []struct{ share, prefix int }{
	{30, 2048}, {20, 2048}, {10, 2048}, {8, 1024}, {6, 1024}, {4, 1024}, {3, 1024}, {3, 1024}, {2, 1024}, {1, 1024},
}

type simJob struct {
	id                           string
	lengthClass                  LengthClass
	prompt, output               int
	workspace                    int
	arrival, deadline            time.Time
	grantedAt                    time.Time
	priority                     int64
	prefillLeft, outputDone      int
	computedTokens, cachedTokens int
	firstToken, end              time.Time
	engine                       *simEngine
	refusal                      Reason
	running, ended, renewing     bool
}

type simEngine struct {
	name             string
	running, waiting []*simJob
	usedMemory       int
	stepping         bool
	cache            map[int]bool
	// prefillRate and decodeRate are moving averages over the steps, as in the stand-in.
	prefillRate, decodeRate float64
}

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var timerSequence int

func (f *fleetSimulation) schedule(d time.Duration, run func()) {
	timerSequence++
	heap.Push(&f.timers, timer{at: f.now.Add(d), seq: timerSequence, run: run})
}

// wallTime converts simulated seconds to the time that the cell sees.
func (f *fleetSimulation) wallTime(s float64) time.Duration {
	return seconds(s / f.speed)
}

// run runs the simulation and returns the requests that arrived after the warm-up.
func (t fleetParameters) run() []*simJob {
	config := testConfig()
	config.Settings = t.settings
	f := &fleetSimulation{
		fleetParameters: t, cell: testCellWith(config), now: epoch,
		engines: make(map[string]*simEngine), jobs: make(map[string]*simJob), waiting: make(map[string]*simJob),
	}
	for i := range t.engines {
		e := &simEngine{name: engine(i, 0).Name, cache: make(map[int]bool), prefillRate: simPrefillRate, decodeRate: simDecodeRate}
		f.engines[e.name] = e
		f.schedule(f.wallTime(float64(i)/float64(t.engines)), func() { f.announce(i, e) })
	}
	f.schedule(0, f.tick)
	f.scheduleArrivals()
	end := epoch.Add(f.wallTime(t.seconds + t.timeLimit + 5))
	for f.now.Before(end) {
		next := heap.Pop(&f.timers).(timer)
		f.now = next.at
		next.run()
	}
	var counted []*simJob
	for _, j := range allKeys(f.jobs) {
		if job := f.jobs[j]; !job.arrival.Before(epoch.Add(f.wallTime(t.warmUp))) {
			counted = append(counted, job)
		}
	}
	return counted
}

func (f *fleetSimulation) scheduleArrivals() {
	random := rand.New(rand.NewPCG(f.seed, 0))
	draw := func(low, high float64) int { return int(low * math.Exp(random.Float64()*math.Log(high/low))) }
	mean := func(low, high float64) float64 { return (high - low) / math.Log(high/low) }
	meanPrompt := 0.78*mean(1000, 3999) + 0.2*mean(4000, 1e5) + 0.02*mean(1e5, 3.9e5)
	rate := f.utilisation * float64(f.fleetParameters.engines) * simChunk / (simChunk/simPrefillRate + 1/simDecodeRate) / meanPrompt
	at := 0.0
	for i := 0; ; i++ {
		at += random.ExpFloat64() / rate
		if at >= f.seconds {
			return
		}
		j := &simJob{id: fmt.Sprintf("r%05d", i)}
		switch x := random.Float64(); {
		case x < 0.78:
			j.lengthClass, j.prompt = Short, draw(1000, 3999)
		case x < 0.98:
			j.lengthClass, j.prompt = Medium, draw(4000, 1e5)
		default:
			j.lengthClass, j.prompt = Long, draw(1e5+1, 3.9e5)
		}
		j.output = draw(16, 256)
		pick := random.IntN(87)
		for ; pick >= simWorkspaces[j.workspace].share; j.workspace++ {
			pick -= simWorkspaces[j.workspace].share
		}
		if f.withoutLong && j.lengthClass == Long {
			continue
		}
		f.jobs[j.id] = j
		f.schedule(f.wallTime(at), func() {
			j.arrival, j.deadline = f.now, f.now.Add(f.wallTime(f.timeLimit))
			f.schedule(networkDelay, func() { f.reserve(j) })
		})
	}
}

// prefixBlocks returns the block hashes of the prompt: those of the prefix that the workspace's longer prompts
// have in common, then unique ones.
func (j *simJob) prefixBlocks() []uint64 {
	var list []uint64
	for i := range j.prompt / prefix.BlockTokens {
		hash := uint64(1000*(j.workspace+1) + i)
		if !j.hasSharedPrefix() || i >= simWorkspaces[j.workspace].prefix/prefix.BlockTokens {
			hash = uint64(j.arrival.UnixNano())<<9 + uint64(i)
		}
		list = append(list, hash)
	}
	return list
}

func (j *simJob) hasSharedPrefix() bool { return j.prompt > simWorkspaces[j.workspace].prefix }

func (f *fleetSimulation) reserve(j *simJob) {
	r := request(j.id, j.prompt, j.output)
	r.Workspace = fmt.Sprintf("w%d", j.workspace)
	r.TimeLeft = j.deadline.Sub(f.now)
	r.Blocks = j.prefixBlocks()
	f.waiting[j.id] = j
	f.handleReply(j, f.cell.reserve(f.now, r))
	f.handleResolved()
}

// handleResolved passes the replies of resolved reservations to their jobs.
func (f *fleetSimulation) handleResolved() {
	resolved := sortedKeys(f.cell.reservations, func(res *reservation) bool {
		res.lastAwait = f.now
		return res.reply != nil
	})
	for _, id := range resolved {
		f.handleReply(f.waiting[id], f.cell.endAwait(f.now, id, false))
	}
}

func (f *fleetSimulation) handleReply(j *simJob, reply ReserveReply) {
	switch reply.Status {
	case Queued:
		return
	case Granted:
		j.grantedAt, j.priority, j.renewing = f.now, reply.Grant.Priority, true
		e := f.engines[reply.Grant.Members[0].Endpoint]
		f.schedule(networkDelay*2, func() { f.submit(j, e) })
		f.schedule(f.wallTime(1), func() { f.renew(j) })
		f.schedule(j.deadline.Sub(f.now), func() { f.expire(j) })
	default:
		j.refusal, j.ended = cmp.Or(reply.Reason, "elsewhere"), true
	}
	delete(f.waiting, j.id)
}

func (f *fleetSimulation) renew(j *simJob) {
	if !j.renewing {
		return
	}
	f.report(j, KeepAlive, 0)
	f.schedule(min(time.Second, f.wallTime(1)), func() { f.renew(j) })
}

func (f *fleetSimulation) report(j *simJob, eventType EventType, delay time.Duration) {
	event := Event{
		Cell: testCell, Grant: j.id, Type: eventType, Elapsed: f.now.Sub(j.grantedAt), PromptTokens: j.prompt,
		CachedTokens: j.cachedTokens, OutputTokens: j.outputDone, Prefilled: !j.firstToken.IsZero(),
	}
	f.schedule(delay, func() {
		f.cell.report(f.now, event)
		f.handleResolved()
	})
}

func (f *fleetSimulation) expire(j *simJob) {
	if j.ended {
		return
	}
	j.ended, j.renewing = true, false
	if j.engine != nil {
		j.engine.remove(j)
	}
	f.report(j, Cancelled, reportDelay)
}

func (f *fleetSimulation) submit(j *simJob, e *simEngine) {
	if j.ended {
		return
	}
	j.engine, j.prefillLeft = e, j.prompt
	e.waiting = append(e.waiting, j)
	f.step(e)
}

func (e *simEngine) remove(j *simJob) {
	isJob := func(other *simJob) bool { return other == j }
	e.waiting = slices.DeleteFunc(e.waiting, isJob)
	e.running = slices.DeleteFunc(e.running, isJob)
	if j.running {
		e.usedMemory -= j.prompt + j.output
	}
}

func byPriority(a, b *simJob) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.id, b.id))
}

// step starts a step of the engine: up to one chunk of prefill in priority order, and one token for each
// request whose prefill is done.
func (f *fleetSimulation) step(e *simEngine) {
	if e.stepping {
		return
	}
	slices.SortFunc(e.waiting, byPriority)
	for len(e.waiting) > 0 && e.usedMemory+e.waiting[0].prompt+e.waiting[0].output <= simMemory {
		j := e.waiting[0]
		e.waiting, e.running = e.waiting[1:], append(e.running, j)
		e.usedMemory += j.prompt + j.output
		j.running = true
		if e.cache[j.workspace] && j.hasSharedPrefix() {
			j.cachedTokens = min(simWorkspaces[j.workspace].prefix, j.prompt/prefix.BlockTokens*prefix.BlockTokens, j.prompt-1)
			j.prefillLeft -= j.cachedTokens
		}
	}
	slices.SortFunc(e.running, byPriority)
	budget, stepTime := simChunk, 0.0
	chunks := make(map[*simJob]int)
	var decoding []*simJob
	for _, j := range e.running {
		if j.prefillLeft == 0 {
			decoding = append(decoding, j)
		} else if n := min(j.prefillLeft, budget); n > 0 {
			chunks[j], budget = n, budget-n
		}
	}
	if len(decoding) == 0 && len(chunks) == 0 {
		return
	}
	stepTime = float64(simChunk-budget) / simPrefillRate
	if len(decoding) > 0 {
		stepTime += 1 / simDecodeRate
	}
	e.stepping = true
	f.schedule(f.wallTime(stepTime), func() {
		e.stepping = false
		e.updateRates(float64(simChunk-budget), len(decoding) > 0, stepTime)
		for _, j := range slices.Clone(e.running) {
			f.finishStep(j, chunks[j], slices.Contains(decoding, j))
		}
		f.step(e)
	})
}

func (e *simEngine) updateRates(prefill float64, decoded bool, stepTime float64) {
	const smoothing = 0.1
	if prefill > 0 {
		e.prefillRate += smoothing * (prefill/stepTime - e.prefillRate)
	}
	if decoded {
		e.decodeRate += smoothing * (1/stepTime - e.decodeRate)
	}
}

func (f *fleetSimulation) finishStep(j *simJob, prefilled int, decoded bool) {
	j.prefillLeft -= prefilled
	j.computedTokens += prefilled
	if !decoded && (prefilled == 0 || j.prefillLeft > 0) {
		return
	}
	j.outputDone++
	j.computedTokens++
	if j.outputDone == 1 {
		j.firstToken = f.now.Add(2 * networkDelay)
		if j.hasSharedPrefix() {
			j.engine.cache[j.workspace] = true
		}
		f.report(j, FirstToken, reportDelay)
	}
	if j.outputDone >= j.output {
		j.ended, j.renewing, j.end = true, false, f.now
		j.engine.remove(j)
		f.report(j, Finished, reportDelay)
	}
}

func (f *fleetSimulation) announce(i int, e *simEngine) {
	a := engine(i, simMemory)
	a.Load = endpoint.Load{PrefillRate: e.prefillRate * f.speed, DecodeRate: e.decodeRate * f.speed, Used: e.usedMemory}
	for _, j := range slices.Concat(e.running, e.waiting) {
		a.Load.QueuedPrefill += j.prefillLeft
	}
	f.schedule(f.wallTime(0.5), func() {
		f.cell.announce(f.now, a)
		f.handleResolved()
	})
	f.schedule(f.wallTime(1), func() { f.announce(i, e) })
}

func (f *fleetSimulation) tick() {
	f.cell.tick(f.now)
	f.handleResolved()
	f.schedule(100*time.Millisecond, f.tick)
}

// fleetResult sums up simulations with different seeds.
type fleetResult struct {
	ttfts           [lengthClassCount][]float64
	wasted          map[string]int
	computedTokens  int
	completed       int
	completedTokens int
	refused         int
}

func (r *fleetResult) add(t fleetParameters) {
	if r.wasted == nil {
		r.wasted = make(map[string]int)
	}
	for _, j := range t.run() {
		r.computedTokens += j.computedTokens
		switch {
		case !j.end.IsZero():
			r.completed++
			r.completedTokens += j.prompt + j.output
		case j.refusal != "":
			r.refused++
			continue
		case j.firstToken.IsZero():
			r.wasted[j.lengthClass.String()+" prefill"] += j.computedTokens
		default:
			r.wasted[j.lengthClass.String()+" decode"] += j.computedTokens
		}
		ttft := t.timeLimit
		if !j.firstToken.IsZero() {
			ttft = j.firstToken.Sub(j.arrival).Seconds() * t.speed
		}
		r.ttfts[j.lengthClass] = append(r.ttfts[j.lengthClass], ttft)
	}
}

func (r *fleetResult) quantile(class LengthClass, q float64) float64 {
	list := slices.Sorted(slices.Values(r.ttfts[class]))
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// BenchmarkMixed reports the times to first token at 70 % load with and without long prompts; run it
// with -benchtime 1x.
func BenchmarkMixed(b *testing.B) {
	for _, speed := range []float64{1, 10} {
		b.Run(fmt.Sprintf("speed=%v", speed), func(b *testing.B) {
			for range b.N {
				var all, without fleetResult
				for seed := range uint64(8) {
					t := fleetParameters{
						settings: DefaultSettings(), engines: 16, speed: speed, utilisation: 0.7, seconds: 420,
						warmUp: 20, timeLimit: 120, seed: seed + 1,
					}
					all.add(t)
					t.withoutLong = true
					without.add(t)
				}
				reportMetrics(b, &all)
				b.ReportMetric(without.quantile(Short, 0.95), "short-alone-p95")
				b.ReportMetric(all.quantile(Short, 0.95)/without.quantile(Short, 0.95), "ratio")
			}
		})
	}
}

func reportMetrics(b *testing.B, r *fleetResult) {
	b.ReportMetric(r.quantile(Short, 0.5), "short-p50")
	b.ReportMetric(r.quantile(Short, 0.95), "short-p95")
	b.ReportMetric(r.quantile(Medium, 0.95), "medium-p95")
	b.ReportMetric(r.quantile(Long, 0.95), "long-p95")
	b.ReportMetric(float64(r.completed), "completed")
}

// BenchmarkOverload reports goodput and wasted tokens by cause, at the capacity and at three times the
// capacity.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{1, 3} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			for range b.N {
				var r fleetResult
				for seed := range uint64(2) {
					r.add(fleetParameters{
						settings: DefaultSettings(), engines: 16, speed: 4, utilisation: load, seconds: 100,
						warmUp: 20, timeLimit: 60, seed: seed + 1,
					})
				}
				reportMetrics(b, &r)
				wasted := 0
				for cause, tokens := range r.wasted {
					wasted += tokens
					b.ReportMetric(100*float64(tokens)/float64(r.computedTokens), strings.ReplaceAll(cause, " ", "-")+"-wasted-%")
				}
				b.ReportMetric(100*float64(wasted)/float64(r.computedTokens), "wasted-%")
				b.ReportMetric(float64(r.completedTokens)/2/80, "tokens/s")
			}
		})
	}
}
