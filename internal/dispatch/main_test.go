package dispatch

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.steps", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const testCell = "oak/north"

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig() Config {
	return Config{
		Instance:        "entry-1",
		Settings:        DefaultSettings(),
		Logger:          zap.NewNop(),
		Quarantined:     func(uint64) bool { return false },
		OnQuarantine:    func(uint64) {},
		EndpointDrained: func(string, string) bool { return false },
		Jitter:          func() float64 { return 0.5 },
	}
}

func testCellWith(config Config) *cell {
	return newCell(testCell, &config, epoch)
}

func engine(i, memory int) endpoint.Announcement {
	return endpoint.Announcement{
		Name: fmt.Sprintf("engine-%03d", i), Incarnation: "1", Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
		Region: "north", Type: endpoint.Engine, Models: []string{"oak"}, Memory: memory, State: endpoint.Ready,
		Load: endpoint.Load{PrefillRate: 10_000},
	}
}

func request(id string, prompt, maxTokens int) ReserveRequest {
	return ReserveRequest{
		RequestID: id, AttemptID: id, Cell: testCell, Workspace: "mill", Weight: 1,
		PromptTokens: prompt, MaxTokens: maxTokens, TimeLeft: 120 * time.Second,
	}
}

func allKeys[V any](m map[string]V) []string {
	return sortedKeys(m, func(V) bool { return true })
}
