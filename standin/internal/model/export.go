package model

import (
	"time"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// maxExports is the number of ended attempts whose KV cache can still be exported.
const maxExports = 256

// Export describes the KV cache of an attempt's prompt.
type Export struct {
	Model string `json:"model"`
	// Tokens is the computed part of the prompt, Blocks its full blocks.
	Tokens int      `json:"tokens"`
	Blocks []uint64 `json:"blocks"`
}

// exports holds the exports of the most recently ended attempts; the oldest one is dropped first.
type exports struct {
	byID  map[string]Export
	order []string
}

func newExports() *exports {
	return &exports{byID: make(map[string]Export)}
}

func (x *exports) put(id string, export Export) {
	if _, found := x.byID[id]; !found {
		x.order = append(x.order, id)
	}
	x.byID[id] = export
	for len(x.order) > maxExports {
		delete(x.byID, x.order[0])
		x.order = x.order[1:]
	}
}

// Export returns the blocks of an attempt that the prefix cache still holds.
func (e *Engine) Export(id string) (Export, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	export, found := e.exports.byID[id]
	if a := e.attempts[id]; a != nil {
		found = true
		export = Export{Model: a.Model, Tokens: a.computedPromptTokens(), Blocks: a.Blocks}
	}
	if !found {
		return Export{}, fault.New("export KV cache", Unknown, "attempt %q does not exist", id)
	}
	cachedBlocks := e.cache.matchPrefix(export.Blocks)
	export.Blocks = export.Blocks[:cachedBlocks]
	export.Tokens = cachedBlocks * prefix.BlockTokens
	return export, nil
}

// Import stores the leading blocks that fit into the free memory, and returns their number.
func (e *Engine) Import(export Export) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	blocks := export.Blocks
	blocks = blocks[:min(len(blocks), (e.config.Memory-e.usedTokens())/prefix.BlockTokens)]
	now := time.Now()
	for _, hash := range blocks {
		if !e.cache.add(hash, now) {
			e.cache.pin([]uint64{hash})
		}
	}
	e.cache.unpin(blocks)
	e.evict()
	e.recordLoad()
	return len(blocks)
}
