package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an engine that counts as slow because it prefills prompts between the events of a stream.
func TestUndisturbedPause(t *testing.T) {
	const usual, slow, prefill = 50 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond
	cases := map[string]struct {
		pauses []time.Duration
		want   time.Duration
	}{
		"too few events to tell":         {pauses: []time.Duration{usual, usual}, want: 0},
		"prompts are prefilled half way": {pauses: []time.Duration{prefill, usual, usual, prefill, prefill, prefill, prefill, prefill, prefill}, want: usual},
		"a slow engine":                  {pauses: []time.Duration{slow, slow, prefill, slow, slow, slow, slow, slow}, want: slow},
		"events that come together":      {pauses: []time.Duration{0, usual, usual, usual, usual, usual, usual, usual}, want: usual},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r PauseRecorder
			now := time.Unix(1_800_000_000, 0)
			is.True(r.RecordEvent(now))
			for _, pause := range slices.Clone(c.pauses) {
				now = now.Add(pause)
				is.True(!r.RecordEvent(now))
			}
			is.Equal(r.UndisturbedPause(), c.want)
		})
	}
}
