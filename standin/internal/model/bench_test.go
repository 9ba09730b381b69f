package model

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkStep measures a decode step of 64 streams, without the writes to the streams.
func BenchmarkStep(b *testing.B) {
	e := New(Config{
		PrefillRate: 10_000, DecodeRate: 30, ChunkTokens: 2048, Memory: 1 << 40, MaxRunning: 64, Speed: 20,
	})
	for i := range 64 {
		_, err := e.Submit(context.Background(), Request{ID: fmt.Sprint(i), PromptTokens: 1, MaxTokens: 1 << 30})
		if err != nil {
			b.Fatal(err)
		}
	}
	e.finishStep(e.beginStep())
	b.ReportAllocs()
	for b.Loop() {
		e.finishStep(e.beginStep())
	}
}
