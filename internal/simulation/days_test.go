package simulation

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/routing"
)

// testEngine is like the engines of the users' deployments.
func testEngine() routing.Engine {
	return routing.Engine{
		Slots: 16, Memory: 450_000, EventTokens: 46, Step: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
		StepPerKiloToken: 2540 * time.Nanosecond, PrefillRate: 256_000, PrefillPerMegaPair: 91_700 * time.Nanosecond, ChunkTokens: 2048,
	}
}

// testKinds returns short, medium and long prompts at a multiple of a usual load.
func testKinds(scale float64) []Kind {
	return []Kind{
		{Name: "short", Rate: 15 * scale, Prompt: 5000, Output: 1610, Spread: 0.7, Objective: 300 * time.Millisecond, MaxPause: 200 * time.Millisecond, Limit: 10 * time.Second, Credit: 1.3, LateCredit: 0.33},
		{Name: "middle", Rate: 1.1 * scale, Prompt: 45000, Output: 966, Spread: 0.5, Objective: 1500 * time.Millisecond, MaxPause: 500 * time.Millisecond, Limit: 10 * time.Second, Credit: 3.1, LateCredit: 0.79},
		{Name: "long", Rate: 0.46 * scale, Prompt: 210000, Output: 782, Spread: 0.45, Objective: 3 * time.Second, MaxPause: 800 * time.Millisecond, Limit: 15 * time.Second, Credit: 22, LateCredit: 5.4},
	}
}

const testLength = 34 * time.Second

// longsThenShorts returns a burst of long prompts followed by one of short prompts.
func longsThenShorts() []Burst {
	return []Burst{
		{Kind: "long", From: 2 * time.Second, To: 11500 * time.Millisecond, Factor: 6},
		{Kind: "middle", From: 2 * time.Second, To: 11500 * time.Millisecond, Factor: 3},
		{Kind: "short", From: 13 * time.Second, To: 22500 * time.Millisecond, Factor: 5},
	}
}
