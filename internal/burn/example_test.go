package burn_test

import (
	"fmt"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/burn"
)

func ExampleReport_Rates() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	recorder := burn.NewRecorder(burn.Config{
		Objectives: []burn.Objective{{Class: "short", TTFT: 300 * time.Millisecond, Target: 0.9, SuccessTarget: 0.99}},
		Now:        func() time.Time { return now },
	})
	for i := range 10 {
		recorder.Observe("sawmill", "short", time.Duration(i)*40*time.Millisecond, 0, true)
	}
	report := recorder.Report()
	for _, series := range report.Worst(1) {
		// Two of nine first tokens took more than 300 ms; one in ten may.
		fmt.Printf("%s %.2f\n", series.Metric, report.Rates(series)[0])
	}
	// Output: ttft 2.22
}
