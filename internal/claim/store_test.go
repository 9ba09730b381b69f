package claim_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/claim"
)

func openRequest(key, request string) claim.OpenRequest {
	return claim.OpenRequest{
		Key:         claim.Key{Workspace: "norte", IdempotencyKey: key},
		Fingerprint: 7,
		RequestID:   request,
		Entry:       "entry-1/a",
	}
}

// Guards against a second dispatch under a key whose first request may have run.
func TestOpen(t *testing.T) {
	first := openRequest("job-1", "r1")
	done := &claim.Outcome{Status: 201, Body: []byte("booked")}
	for name, test := range map[string]struct {
		settle  *claim.SettleRequest
		request claim.OpenRequest
		now     int64
		want    claim.Status
	}{
		"same request asks again": {nil, first, 2, claim.Granted},
		"resend while it runs":    {nil, openRequest("job-1", "r2"), 2, claim.InProgress},
		"resend long after":       {nil, openRequest("job-1", "r2"), claim.MaxRequestDuration.Milliseconds() + 2, claim.Unknown},
		"other body":              {nil, claim.OpenRequest{Key: first.Key, Fingerprint: 8, RequestID: "r2"}, 2, claim.Mismatch},
		"done":                    {&claim.SettleRequest{RequestID: "r1", Outcome: done}, openRequest("job-1", "r2"), 2, claim.Done},
		"unknown":                 {&claim.SettleRequest{RequestID: "r1"}, openRequest("job-1", "r2"), 2, claim.Unknown},
		"unknown, same request":   {&claim.SettleRequest{RequestID: "r1"}, first, 2, claim.Unknown},
		"released":                {&claim.SettleRequest{RequestID: "r1", Release: true}, openRequest("job-1", "r2"), 2, claim.Granted},
		"released by another":     {&claim.SettleRequest{RequestID: "r9", Release: true}, openRequest("job-1", "r2"), 2, claim.InProgress},
		"after retention":         {nil, openRequest("job-1", "r2"), claim.Retention.Milliseconds() + 2, claim.Granted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := claim.NewStore(nil)
			is.Equal(store.Open(first, 1).Status, claim.Granted)
			if test.settle != nil {
				test.settle.Key = first.Key
				store.Settle(*test.settle, 1)
			}
			is.Equal(store.Open(test.request, test.now).Status, test.want)
		})
	}
}

// Guards against a release that reopens a key whose outcome is unknown.
func TestUnknownStays(t *testing.T) {
	is := is.New(t)
	store := claim.NewStore(nil)
	first := openRequest("job-1", "r1")
	store.Open(first, 1)
	is.True(store.Settle(claim.SettleRequest{Key: first.Key, RequestID: "r1"}, 1).Accepted)
	is.True(!store.Settle(claim.SettleRequest{Key: first.Key, RequestID: "r1", Release: true}, 1).Accepted)
	is.Equal(store.Open(openRequest("job-1", "r2"), 2).Status, claim.Unknown)
}

// Guards against unbounded memory for outcome bodies: the oldest are dropped, their keys and statuses stay.
func TestBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	store := claim.NewStore(nil)
	body := make([]byte, claim.MaxOutcomeBytes)
	count := claim.MaxBodyBytes/claim.MaxOutcomeBytes + 2
	for i := range count {
		r := openRequest(fmt.Sprint(i), fmt.Sprint(i))
		store.Open(r, 1)
		store.Settle(claim.SettleRequest{Key: r.Key, RequestID: r.RequestID, Outcome: &claim.Outcome{Status: 200, Body: body}}, 1)
	}
	is.Equal(store.Len(), count)
	oldest := store.Open(openRequest("0", "again"), 2)
	is.Equal(oldest.Status, claim.Done)
	is.True(oldest.Outcome.Truncated)
	is.Equal(oldest.Outcome.Status, 200)
}

// Guards against a workspace that uses up all claims, so that other workspaces get none for a day.
func TestWorkspacesShareMaxClaims(t *testing.T) {
	is := is.New(t)
	store := claim.NewStore(nil)
	granted := 0
	for i := range claim.MaxClaims {
		if store.Open(openRequest(fmt.Sprint(i), "r"), 1).Status != claim.Granted {
			break
		}
		granted++
	}
	is.True(granted >= claim.MaxClaims/2)
	for _, workspace := range []string{"barrena-joinery", "oria-shop"} {
		for i := range claim.MaxClaims / 8 {
			r := openRequest(fmt.Sprint(i), "r")
			r.Key.Workspace = workspace
			is.Equal(store.Open(r, 2).Status, claim.Granted)
		}
	}
	// The number of claims of a workspace is also known after a restore from a snapshot.
	is.Equal(claim.NewStore(store.Records()).Open(openRequest("more", "r"), 2).Status, claim.Full)
	is.Equal(store.Open(openRequest("more", "r"), claim.Retention.Milliseconds()+3).Status, claim.Granted)
}

// Guards against released claims that use memory until their retention ends: a caller that retries every
// few milliseconds while a service is unreachable opens and releases a claim each time.
func TestReleasedClaimsUseNoMemory(t *testing.T) {
	is := is.New(t)
	store := claim.NewStore(nil)
	before := heapInUse()
	for i := range 100_000 {
		r := openRequest("job-1", fmt.Sprint(i))
		is.Equal(store.Open(r, int64(i)).Status, claim.Granted)
		is.True(store.Settle(claim.SettleRequest{Key: r.Key, RequestID: r.RequestID, Release: true}, int64(i)).Accepted)
	}
	is.Equal(store.Len(), 0)
	is.True(heapInUse() < before+4<<20)
	runtime.KeepAlive(store)
}

// heapInUse returns the number of bytes of reachable objects.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemory reports the memory of a claim whose outcome has no body.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		store := claim.NewStore(nil)
		for i := range 100_000 {
			r := openRequest(fmt.Sprintf("3f2504e0-4f89-41d3-9a0c-0305e82c%04d", i), fmt.Sprintf("d3c1e2526f3ad4742b%06d", i))
			store.Open(r, 1)
			store.Settle(claim.SettleRequest{Key: r.Key, RequestID: r.RequestID, Outcome: &claim.Outcome{Status: 201}}, 1)
		}
		b.ReportMetric(float64(heapInUse()-before)/100_000, "B/claim")
		runtime.KeepAlive(store)
	}
}

// Guards against two requests that may both be dispatched under one key, in any order of opening, settling,
// releasing, passing time and restoring from a snapshot. An implementation that grants an old claim to the
// next request fails it.
func TestOneDispatchForEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := claim.NewStore(nil)
		now := int64(0)
		// dispatched has the request that may have sent bytes to an endpoint, by key.
		dispatched := make(map[string]string)
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
				request := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "request")
				reply := store.Open(openRequest(key, key+request), now)
				if reply.Status != claim.Granted {
					return
				}
				if other := dispatched[key]; other != "" && other != request {
					t.Fatalf("key %s was dispatched by %s and granted to %s", key, other, request)
				}
				if rapid.Bool().Draw(t, "sends bytes") {
					dispatched[key] = request
				} else {
					store.Settle(claim.SettleRequest{Key: openRequest(key, "").Key, RequestID: key + request, Release: dispatched[key] == ""}, now)
				}
			},
			"settle": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
				request := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "request")
				settle := claim.SettleRequest{Key: openRequest(key, "").Key, RequestID: key + request}
				if rapid.Bool().Draw(t, "done") {
					settle.Outcome = &claim.Outcome{Status: 200}
				}
				store.Settle(settle, now)
			},
			"time passes": func(t *rapid.T) {
				now += rapid.Int64Range(0, claim.MaxRequestDuration.Milliseconds()*2).Draw(t, "ms")
				// No request runs longer than the retention, so all claims may be dropped after it.
				if now > claim.Retention.Milliseconds() {
					now = 0
					store = claim.NewStore(nil)
					clear(dispatched)
				}
			},
			"restore": func(*rapid.T) {
				store = claim.NewStore(store.Records())
			},
		})
	})
}
