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

// fleet plays the load of experiments/mixed.yaml against a cell in virtual time: engines work in steps
// as docs/standin.md describes, reports and events are late as on the bench.
type fleet struct {
	trial
	cell    *cell
	now     time.Time
	pending timers
	engines map[string]*simEngine
	jobs    map[string]*job
	// waiting are the jobs without a grant.
	waiting map[string]*job
}

// trial sets up a fleet. Times are simulated; the cell sees them divided by speed, as on the bench.
type trial struct {
	settings    Settings
	engines     int
	speed       float64
	utilisation float64
	seconds     float64
	warmUp      float64
	limit       float64
	withoutLong bool
	seed        uint64
}

const (
	simPrefillRate, simDecodeRate, simChunk, simMemory = 10_000.0, 30.0, 2048, 400_000
	// simHop is one way between two processes, simReport the time until an entry reports an event.
	simHop    = time.Millisecond / 2
	simReport = 20 * time.Millisecond
)

// simWorkspaces are the shares of the workspaces, in percent, and the tokens of their common prefix.
var simWorkspaces = []struct{ share, prefix int }{
	{30, 2048}, {20, 2048}, {10, 2048}, {8, 1024}, {6, 1024}, {4, 1024}, {3, 1024}, {3, 1024}, {2, 1024}, {1, 1024},
}

type job struct {
	id                   string
	class                LengthClass
	prompt, output       int
	workspace            int
	arrival, deadline    time.Time
	granted              time.Time
	key                  int64
	left, done           int
	spent, cached        int
	first, end           time.Time
	engine               *simEngine
	refused              Reason
	running, over, alive bool
}

type simEngine struct {
	name             string
	running, waiting []*job
	used             int
	stepping         bool
	cache            map[int]bool
	// prefillRate and decodeRate are measured from the steps, as the stand-in does.
	prefillRate, decodeRate float64
}

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var simSeq int

func (f *fleet) after(d time.Duration, run func()) {
	simSeq++
	heap.Push(&f.pending, timer{at: f.now.Add(d), seq: simSeq, run: run})
}

// real is a simulated time as the cell sees it.
func (f *fleet) real(s float64) time.Duration {
	return seconds(s / f.speed)
}

// play runs the trial and returns its requests that arrived after the warm-up.
func (t trial) play() []*job {
	config := testConfig()
	config.Settings = t.settings
	f := &fleet{
		trial: t, cell: testCellWith(config), now: epoch,
		engines: make(map[string]*simEngine), jobs: make(map[string]*job), waiting: make(map[string]*job),
	}
	for i := range t.engines {
		e := &simEngine{name: engine(i, 0).Name, cache: make(map[int]bool), prefillRate: simPrefillRate, decodeRate: simDecodeRate}
		f.engines[e.name] = e
		f.after(f.real(float64(i)/float64(t.engines)), func() { f.announce(i, e) })
	}
	f.after(0, f.tick)
	f.arrivals()
	end := epoch.Add(f.real(t.seconds + t.limit + 5))
	for f.now.Before(end) {
		next := heap.Pop(&f.pending).(timer)
		f.now = next.at
		next.run()
	}
	var counted []*job
	for _, j := range allKeys(f.jobs) {
		if job := f.jobs[j]; !job.arrival.Before(epoch.Add(f.real(t.warmUp))) {
			counted = append(counted, job)
		}
	}
	return counted
}

func (f *fleet) arrivals() {
	random := rand.New(rand.NewPCG(f.seed, 0))
	draw := func(low, high float64) int { return int(low * math.Exp(random.Float64()*math.Log(high/low))) }
	mean := func(low, high float64) float64 { return (high - low) / math.Log(high/low) }
	meanPrompt := 0.78*mean(1000, 3999) + 0.2*mean(4000, 1e5) + 0.02*mean(1e5, 3.9e5)
	rate := f.utilisation * float64(f.trial.engines) * simChunk / (simChunk/simPrefillRate + 1/simDecodeRate) / meanPrompt
	at := 0.0
	for i := 0; ; i++ {
		at += random.ExpFloat64() / rate
		if at >= f.seconds {
			return
		}
		j := &job{id: fmt.Sprintf("r%05d", i)}
		switch x := random.Float64(); {
		case x < 0.78:
			j.class, j.prompt = Short, draw(1000, 3999)
		case x < 0.98:
			j.class, j.prompt = Medium, draw(4000, 1e5)
		default:
			j.class, j.prompt = Long, draw(1e5+1, 3.9e5)
		}
		j.output = draw(16, 256)
		pick := random.IntN(87)
		for ; pick >= simWorkspaces[j.workspace].share; j.workspace++ {
			pick -= simWorkspaces[j.workspace].share
		}
		if f.withoutLong && j.class == Long {
			continue
		}
		f.jobs[j.id] = j
		f.after(f.real(at), func() {
			j.arrival, j.deadline = f.now, f.now.Add(f.real(f.limit))
			f.after(simHop, func() { f.reserve(j) })
		})
	}
}

// blocks are the hashes of the prefix that a workspace's longer prompts share, then unique ones.
func (j *job) blocks() []uint64 {
	var list []uint64
	for i := range j.prompt / prefix.BlockTokens {
		hash := uint64(1000*(j.workspace+1) + i)
		if !j.shares() || i >= simWorkspaces[j.workspace].prefix/prefix.BlockTokens {
			hash = uint64(j.arrival.UnixNano())<<9 + uint64(i)
		}
		list = append(list, hash)
	}
	return list
}

func (j *job) shares() bool { return j.prompt > simWorkspaces[j.workspace].prefix }

func (f *fleet) reserve(j *job) {
	r := request(j.id, j.prompt, j.output)
	r.Workspace = fmt.Sprintf("w%d", j.workspace)
	r.TimeLeft = j.deadline.Sub(f.now)
	r.Blocks = j.blocks()
	f.waiting[j.id] = j
	f.answer(j, f.cell.reserve(f.now, r))
	f.collect()
}

// collect hands out what the cell has decided of the waiting reservations.
func (f *fleet) collect() {
	resolved := sortedKeys(f.cell.items, func(it *item) bool {
		it.lastAwait = f.now
		return it.reply != nil
	})
	for _, id := range resolved {
		f.answer(f.waiting[id], f.cell.endAwait(f.now, id, false))
	}
}

func (f *fleet) answer(j *job, reply ReserveReply) {
	switch reply.Status {
	case Queued:
		return
	case Granted:
		j.granted, j.key, j.alive = f.now, reply.Grant.Priority, true
		e := f.engines[reply.Grant.Members[0].Endpoint]
		f.after(simHop*2, func() { f.submit(j, e) })
		f.after(f.real(1), func() { f.renew(j) })
		f.after(j.deadline.Sub(f.now), func() { f.expire(j) })
	default:
		j.refused, j.over = cmp.Or(reply.Reason, "elsewhere"), true
	}
	delete(f.waiting, j.id)
}

func (f *fleet) renew(j *job) {
	if !j.alive {
		return
	}
	f.report(j, Alive, 0)
	f.after(min(time.Second, f.real(1)), func() { f.renew(j) })
}

func (f *fleet) report(j *job, how EventType, delay time.Duration) {
	event := Event{
		Cell: testCell, Grant: j.id, Type: how, Elapsed: f.now.Sub(j.granted), PromptTokens: j.prompt,
		CachedTokens: j.cached, OutputTokens: j.done, Prefilled: !j.first.IsZero(),
	}
	f.after(delay, func() {
		f.cell.report(f.now, event)
		f.collect()
	})
}

func (f *fleet) expire(j *job) {
	if j.over {
		return
	}
	j.over, j.alive = true, false
	if j.engine != nil {
		j.engine.remove(j)
	}
	f.report(j, Cancelled, simReport)
}

func (f *fleet) submit(j *job, e *simEngine) {
	if j.over {
		return
	}
	j.engine, j.left = e, j.prompt
	e.waiting = append(e.waiting, j)
	f.step(e)
}

func (e *simEngine) remove(j *job) {
	is := func(other *job) bool { return other == j }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.running = slices.DeleteFunc(e.running, is)
	if j.running {
		e.used -= j.prompt + j.output
	}
}

func byKey(a, b *job) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.id, b.id)) }

// step begins a step of the engine: up to a chunk of prefill in order of priority, and a token for each
// request whose prefill is done.
func (f *fleet) step(e *simEngine) {
	if e.stepping {
		return
	}
	slices.SortFunc(e.waiting, byKey)
	for len(e.waiting) > 0 && e.used+e.waiting[0].prompt+e.waiting[0].output <= simMemory {
		j := e.waiting[0]
		e.waiting, e.running = e.waiting[1:], append(e.running, j)
		e.used += j.prompt + j.output
		j.running = true
		if e.cache[j.workspace] && j.shares() {
			j.cached = min(simWorkspaces[j.workspace].prefix, j.prompt/prefix.BlockTokens*prefix.BlockTokens, j.prompt-1)
			j.left -= j.cached
		}
	}
	slices.SortFunc(e.running, byKey)
	budget, took := simChunk, 0.0
	chunks := make(map[*job]int)
	var decode []*job
	for _, j := range e.running {
		if j.left == 0 {
			decode = append(decode, j)
		} else if n := min(j.left, budget); n > 0 {
			chunks[j], budget = n, budget-n
		}
	}
	if len(decode) == 0 && len(chunks) == 0 {
		return
	}
	took = float64(simChunk-budget) / simPrefillRate
	if len(decode) > 0 {
		took += 1 / simDecodeRate
	}
	e.stepping = true
	f.after(f.real(took), func() {
		e.stepping = false
		e.measure(float64(simChunk-budget), len(decode) > 0, took)
		for _, j := range slices.Clone(e.running) {
			f.advance(j, chunks[j], slices.Contains(decode, j))
		}
		f.step(e)
	})
}

func (e *simEngine) measure(prefill float64, decoded bool, took float64) {
	const smoothing = 0.1
	if prefill > 0 {
		e.prefillRate += smoothing * (prefill/took - e.prefillRate)
	}
	if decoded {
		e.decodeRate += smoothing * (1/took - e.decodeRate)
	}
}

func (f *fleet) advance(j *job, prefilled int, decoded bool) {
	j.left -= prefilled
	j.spent += prefilled
	if !decoded && (prefilled == 0 || j.left > 0) {
		return
	}
	j.done++
	j.spent++
	if j.done == 1 {
		j.first = f.now.Add(2 * simHop)
		if j.shares() {
			j.engine.cache[j.workspace] = true
		}
		f.report(j, FirstToken, simReport)
	}
	if j.done >= j.output {
		j.over, j.alive, j.end = true, false, f.now
		j.engine.remove(j)
		f.report(j, Finished, simReport)
	}
}

func (f *fleet) announce(i int, e *simEngine) {
	a := engine(i, simMemory)
	a.Load = endpoint.Load{PrefillRate: e.prefillRate * f.speed, DecodeRate: e.decodeRate * f.speed, Used: e.used}
	for _, j := range slices.Concat(e.running, e.waiting) {
		a.Load.QueuedPrefill += j.left
	}
	f.after(f.real(0.5), func() {
		f.cell.announce(f.now, a)
		f.collect()
	})
	f.after(f.real(1), func() { f.announce(i, e) })
}

func (f *fleet) tick() {
	f.cell.tick(f.now)
	f.collect()
	f.after(100*time.Millisecond, f.tick)
}

// result sums up trials with different seeds.
type result struct {
	first     [lengthClasses][]float64
	wasted    map[string]int
	computed  int
	completed int
	tokens    int
	refused   int
}

func (r *result) add(t trial) {
	if r.wasted == nil {
		r.wasted = make(map[string]int)
	}
	for _, j := range t.play() {
		r.computed += j.spent
		switch {
		case !j.end.IsZero():
			r.completed++
			r.tokens += j.prompt + j.output
		case j.refused != "":
			r.refused++
			continue
		case j.first.IsZero():
			r.wasted[j.class.String()+" prefill"] += j.spent
		default:
			r.wasted[j.class.String()+" decode"] += j.spent
		}
		ttft := t.limit
		if !j.first.IsZero() {
			ttft = j.first.Sub(j.arrival).Seconds() * t.speed
		}
		r.first[j.class] = append(r.first[j.class], ttft)
	}
}

func (r *result) quantile(class LengthClass, q float64) float64 {
	list := slices.Sorted(slices.Values(r.first[class]))
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
				var all, without result
				for seed := range uint64(8) {
					t := trial{
						settings: DefaultSettings(), engines: 16, speed: speed, utilisation: 0.7, seconds: 420,
						warmUp: 20, limit: 120, seed: seed + 1,
					}
					all.add(t)
					t.withoutLong = true
					without.add(t)
				}
				metrics(b, &all)
				b.ReportMetric(without.quantile(Short, 0.95), "short-alone-p95")
				b.ReportMetric(all.quantile(Short, 0.95)/without.quantile(Short, 0.95), "ratio")
			}
		})
	}
}

func metrics(b *testing.B, r *result) {
	b.ReportMetric(r.quantile(Short, 0.5), "short-p50")
	b.ReportMetric(r.quantile(Short, 0.95), "short-p95")
	b.ReportMetric(r.quantile(Medium, 0.95), "medium-p95")
	b.ReportMetric(r.quantile(Long, 0.95), "long-p95")
	b.ReportMetric(float64(r.completed), "completed")
}

// BenchmarkOverload reports goodput and the waste by its cause at the capacity and at three times it.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{1, 3} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			for range b.N {
				var r result
				for seed := range uint64(2) {
					r.add(trial{
						settings: DefaultSettings(), engines: 16, speed: 4, utilisation: load, seconds: 100,
						warmUp: 20, limit: 60, seed: seed + 1,
					})
				}
				metrics(b, &r)
				wasted := 0
				for cause, tokens := range r.wasted {
					wasted += tokens
					b.ReportMetric(100*float64(tokens)/float64(r.computed), strings.ReplaceAll(cause, " ", "-")+"-wasted-%")
				}
				b.ReportMetric(100*float64(wasted)/float64(r.computed), "wasted-%")
				b.ReportMetric(float64(r.tokens)/2/80, "tokens/s")
			}
		})
	}
}
