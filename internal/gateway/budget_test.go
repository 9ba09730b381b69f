package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against instances that together exceed the retry limit of the deployment. It happens if an instance keeps
// a share of the slack that it computed when it knew fewer of the others.
func TestRetriesOfAllEntriesStayInBudget(t *testing.T) {
	tests := map[string]struct{ first, later int }{
		"all known":        {16, 16},
		"one known first":  {1, 16},
		"some known first": {5, 16},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries := test.first
				budgets := newRetryBudgets(RetryConfig{Ratio: 0.2, Slack: 230, Window: 10 * time.Second}, func() int { return entries })
				budgets.forService("desk")
				entries = test.later
				retries, requests := 0, 0
				for range 10 {
					budgets.forService("desk").RecordRequest()
					requests++
					for range 100 {
						if budgets.forService("desk").Take() {
							retries++
						}
						time.Sleep(10 * time.Millisecond)
					}
				}
				is := is.New(t)
				is.True(float64(retries*test.later) <= 0.2*float64(requests*test.later)+230)
				is.True(retries > 0)
			})
		})
	}
}
