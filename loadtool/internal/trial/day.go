package trial

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/routing"
	"github.com/dandelionpier/dandelionpier/internal/settings"
	"github.com/dandelionpier/dandelionpier/internal/simulation"
)

// Day is the content of a day file: the engines, and the load of a simulated period, here called a day.
type Day struct {
	// Length is the simulated period in which requests arrive.
	Length  time.Duration `yaml:"length" validate:"gt=0"`
	Engines int           `yaml:"engines" validate:"gt=0"`
	Engine  Engine        `yaml:"engine"`
	Kinds   []Request     `yaml:"kinds" validate:"required,min=1,dive"`
	Bursts  []Burst       `yaml:"bursts" validate:"dive"`
	Slow    []Slowdown    `yaml:"slow" validate:"dive"`
}

// Engine declares the capacity and the speed of the engines, which are all alike.
type Engine struct {
	// Slots is the number of requests that an engine processes at a time, Memory its KV-cache capacity in tokens.
	Slots  int `yaml:"slots" validate:"gt=0"`
	Memory int `yaml:"memory" validate:"gt=0"`
	// EventTokens is the number of tokens in one event of a stream, which is also the number of decode steps
	// in a pass.
	EventTokens int `yaml:"event-tokens" validate:"gt=0"`
	// Step is the fixed time of one step, StepPerRequest what each decoding request adds to it, and
	// StepPerKiloToken what each 1,000 tokens of their context add.
	Step             time.Duration `yaml:"step" validate:"gte=0"`
	StepPerRequest   time.Duration `yaml:"step-per-request" validate:"gte=0"`
	StepPerKiloToken time.Duration `yaml:"step-per-kilo-token" validate:"gte=0"`
	// ReadRate is the prefill rate in prompt tokens per second, Chunk the maximum number of prompt tokens that
	// one step prefills. ReadPerMegaPair is the attention time of prefill for each million pairs of a prompt
	// token and an earlier one.
	ReadRate        float64       `yaml:"read-rate" validate:"gt=0"`
	ReadPerMegaPair time.Duration `yaml:"read-per-mega-pair" validate:"gte=0"`
	Chunk           int           `yaml:"chunk" validate:"gte=0"`
}

// Request describes a kind of request.
type Request struct {
	Name string `yaml:"name" validate:"required"`
	// Rate is the mean number of requests per second.
	Rate float64 `yaml:"rate" validate:"gt=0"`
	// Prompt and Output are mean lengths in tokens, Spread the standard deviation of their logarithms.
	Prompt int     `yaml:"prompt" validate:"gt=0"`
	Output int     `yaml:"output" validate:"gt=0"`
	Spread float64 `yaml:"spread" validate:"gte=0"`
	// MaxPrompt bounds the length of a prompt in tokens; 0 means no bound.
	MaxPrompt int `yaml:"max-prompt" validate:"gte=0"`
	// Objective is the time to the first event, and MaxPause the longest pause between two events, up to which
	// a request earns its full credit. Limit is the time after which a caller disconnects.
	Objective time.Duration `yaml:"objective" validate:"gt=0"`
	MaxPause  time.Duration `yaml:"max-pause" validate:"gt=0"`
	Limit     time.Duration `yaml:"limit" validate:"gt=0"`
	// Worth and LateWorth are the credits of a request of mean length that is served within its objective,
	// and later.
	Worth     float64 `yaml:"worth" validate:"gt=0"`
	LateWorth float64 `yaml:"late-worth" validate:"gte=0"`
}

// Burst multiplies the rate of a kind of request for a time.
type Burst struct {
	Kind   string        `yaml:"kind" validate:"required"`
	From   time.Duration `yaml:"from" validate:"gte=0"`
	To     time.Duration `yaml:"to" validate:"gtfield=From"`
	Factor float64       `yaml:"factor" validate:"gt=0"`
}

// Slowdown makes an engine slow for a time. Pace multiplies all its times.
type Slowdown struct {
	Engine int           `yaml:"engine" validate:"gte=0"`
	From   time.Duration `yaml:"from" validate:"gte=0"`
	To     time.Duration `yaml:"to" validate:"gtfield=From"`
	Pace   float64       `yaml:"pace" validate:"gte=1"`
}

// Load reads a day file.
func Load(path string) (Day, error) {
	var d Day
	err := settings.Load(path, &d)
	return d, err
}

func (d Day) engine() routing.Engine {
	return routing.Engine{
		Slots: d.Engine.Slots, Memory: d.Engine.Memory, EventTokens: d.Engine.EventTokens, Step: d.Engine.Step,
		StepPerRequest: d.Engine.StepPerRequest, StepPerKiloToken: d.Engine.StepPerKiloToken,
		PrefillRate: d.Engine.ReadRate, PrefillPerMegaPair: d.Engine.ReadPerMegaPair, ChunkTokens: d.Engine.Chunk,
	}
}

// draw returns the simulated day with the arrivals of a seed.
func (d Day) draw(seed uint64) simulation.Day {
	kinds := make([]simulation.Kind, len(d.Kinds))
	for i, k := range d.Kinds {
		kinds[i] = simulation.Kind{
			Name: k.Name, Rate: k.Rate, Prompt: k.Prompt, Output: k.Output, Spread: k.Spread, MaxPrompt: k.MaxPrompt, Objective: k.Objective,
			MaxPause: k.MaxPause, Limit: k.Limit, Credit: k.Worth, LateCredit: k.LateWorth,
		}
	}
	bursts := make([]simulation.Burst, len(d.Bursts))
	for i, b := range d.Bursts {
		bursts[i] = simulation.Burst{Kind: b.Kind, From: b.From, To: b.To, Factor: b.Factor}
	}
	day := simulation.Day{Engine: d.engine(), Engines: d.Engines, Arrivals: simulation.Draw(seed, d.Length, kinds, bursts)}
	for _, s := range d.Slow {
		day.Slow = append(day.Slow, simulation.Slowdown{Engine: s.Engine % d.Engines, From: s.From, To: s.To, TimeFactor: s.Pace})
	}
	return day
}
