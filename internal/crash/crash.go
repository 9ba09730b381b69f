// Package crash finds the parts of prompts that crash engines. An engine that crashes ends all requests that it runs,
// so one crash says little about any of them; a part that is among the suspects of several crashes, and that no engine
// has written on since, is blamed. Store is the replicated evidence, Witness the side of an entry.
package crash

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report describes a request that an endpoint ran when it crashed.
type Report struct {
	// Endpoint is the engine's id. An engine may start again under the id that it had.
	Endpoint string `cbor:"1,keyasint"`
	// Parts are the ids of the parts of the request that other requests may hold, in the order of its prompt. There are none
	// if the response had begun: an engine that a part crashes ends when it begins to write.
	Parts []string `cbor:"2,keyasint"`
	// Started is the start of the engine's incarnation in Unix milliseconds, or 0 if it is not known.
	Started int64 `cbor:"3,keyasint,omitempty"`
	// Stream is set if the response had begun.
	Stream *Stream `cbor:"-"`
}

// Stream is a response that a crash cut off, in the time of the entry that received it.
type Stream struct {
	// Sent is when the request was sent to the endpoint, Ended when the response was cut off.
	Sent, Ended time.Time
}

// NoFingerprint in a report means that no whole request is a suspect.
const NoFingerprint uint64 = 0

// Blame says that requests with a part are refused for some time. Times are Unix milliseconds of the leader's clock.
type Blame struct {
	Part string `cbor:"1,keyasint"`
	// Since is the time of the first crash that the part is blamed for.
	Since int64 `cbor:"2,keyasint"`
	// From and Until bound the time in which the part is refused.
	From  int64 `cbor:"3,keyasint"`
	Until int64 `cbor:"4,keyasint"`
}

// Interval is a Blame in the time of this process.
type Interval struct {
	Since, From, Until time.Time
}

// Covers reports whether the part is refused at a time.
func (i Interval) Covers(t time.Time) bool {
	return !t.Before(i.From) && t.Before(i.Until)
}

// Blames maps the ids of parts to their blame.
type Blames map[string]Interval

// LocalBlames converts blames to the time of this process. leaderNow is the leader's clock in Unix milliseconds at
// about now.
func LocalBlames(list []Blame, leaderNow int64, now time.Time) Blames {
	local := func(ms int64) time.Time { return now.Add(time.Duration(ms-leaderNow) * time.Millisecond) }
	blames := make(Blames, len(list))
	for _, b := range list {
		blames[b.Part] = Interval{Since: local(b.Since), From: local(b.From), Until: local(b.Until)}
	}
	return blames
}

// Refused returns the part for which a request with the given parts is refused, and until when. It returns false if
// the request is not refused.
func (b Blames) Refused(parts []string, now time.Time) (part string, until time.Time, refused bool) {
	for _, p := range parts {
		if i, ok := b[p]; ok && i.Covers(now) && i.Until.After(until) {
			part, until, refused = p, i.Until, true
		}
	}
	return part, until, refused
}

// Parts returns the ids of the blamed parts in order.
func (b Blames) Parts() []string {
	return slices.Sorted(maps.Keys(b))
}

// Version returns a value that changes with the list. It is 0 for an empty list.
func Version(list []Blame) uint64 {
	var digest xxhash.Digest
	if len(list) == 0 {
		return 0
	}
	digest.Reset()
	for _, b := range list {
		_, _ = digest.WriteString(b.Part)
		_ = binary.Write(&digest, binary.BigEndian, []int64{b.Since, b.From, b.Until})
	}
	return digest.Sum64()
}

// SharedParts returns the parts of a prompt that other requests may hold: all but the last, which belongs to the request
// itself or its session.
func SharedParts(ids []string) []string {
	return ids[:max(0, len(ids)-1)]
}
