package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/registration"
)

// BenchmarkReserveShort measures the placement of short prompts in a cell of 40 engines with 6 streams each.
func BenchmarkReserveShort(b *testing.B) {
	s := NewScheduler(passEngine())
	var records []registration.Record
	for i := range 40 {
		id := fmt.Sprintf("e%02d", i)
		records = append(records, registration.Record{ID: id, Address: id, State: registration.Ready, Started: 1})
	}
	s.Update(epoch, records)
	now := epoch
	for i := range 240 {
		j := Job{ID: fmt.Sprint("r", i), Prompt: 5000, Output: 1368, Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, Left: time.Hour}
		s.Reserve(now, "entry", j)
		now = now.Add(5 * time.Millisecond)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		j := Job{ID: fmt.Sprint("j", i), Prompt: 5000, Output: 1368, Objective: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, Left: time.Hour}
		s.Reserve(now, "entry", j)
		s.Report(now, "entry", Event{Type: Finished, Job: j})
	}
}
