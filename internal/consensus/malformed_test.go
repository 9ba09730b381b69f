package consensus

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

// Guards against one malformed message between members that ends the process which receives it.
func TestMalformedAppendRequest(t *testing.T) {
	for name, entries := range map[string][]journal.Entry{
		"undecodable membership": {{Index: 4, Term: 3, Type: membershipEntry, Data: []byte{0xff}}},
		"index 0":                {{Index: 0, Term: 3}},
		"gap":                    {{Index: 6, Term: 3}},
		"same index twice":       {{Index: 4, Term: 3}, {Index: 4, Term: 3}},
		"term goes back":         {{Index: 4, Term: 3}, {Index: 5, Term: 2}},
		"term ahead":             {{Index: 4, Term: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request := &AppendRequest{Envelope: envelopeFrom("b", 3), PreviousIndex: 3, PreviousTerm: 2, Entries: entries}
			is.True(fault.Is((&Service{}).Append(request, &AppendReply{}), Invalid)) // the node does not see it
		})
	}
	sound := &AppendRequest{Envelope: envelopeFrom("b", 3), PreviousIndex: 3, PreviousTerm: 2, Entries: []journal.Entry{{Index: 4, Term: 3}}}
	is.New(t).NoErr(sound.check())
}

// Guards against requests that pass the check and end the process nevertheless.
func TestCheckedAppendRequestsDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCore()
		number := rapid.Uint64Range(0, 7)
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			request := &AppendRequest{
				Envelope:      envelopeFrom(rapid.SampledFrom([]string{"b", "c", "x"}).Draw(t, "from"), number.Draw(t, "term")),
				PreviousIndex: number.Draw(t, "previous index"), PreviousTerm: number.Draw(t, "previous term"),
				Commit: rapid.Uint64().Draw(t, "commit"), TakeOver: rapid.Bool().Draw(t, "take over"),
			}
			index := request.PreviousIndex
			for range rapid.IntRange(0, 4).Draw(t, "entries") {
				index += rapid.SampledFrom([]uint64{1, 1, 1, 1, 0, 2}).Draw(t, "step")
				request.Entries = append(request.Entries, journal.Entry{
					Index: index, Term: number.Draw(t, "entry term"), Type: rapid.SampledFrom([]uint8{0, 1, 2, 9}).Draw(t, "type"),
				})
			}
			if request.check() == nil {
				c.step(c.now, message{body: request})
				c.takeOutput()
			}
		}
	})
}
