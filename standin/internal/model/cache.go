package model

import (
	"container/list"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// maxPendingEvents bounds the events that have not been published; when it is reached, the older half is lost.
const maxPendingEvents = 8192

// cache is the prefix cache. Attempts pin the blocks that they use; the others are evicted in least recently
// used order.
type cache struct {
	blocks        map[uint64]*block
	idle          *list.List
	pinnedBlocks  int
	eventGap      int
	sequence      uint64
	pendingEvents []cacheEvent
}

type block struct {
	hash uint64
	pins int
	// element is the block's element of the idle list, nil while the block is pinned.
	element *list.Element
}

type cacheEvent struct {
	endpoint.CacheEvent
	at time.Time
}

func newCache(eventGap int) *cache {
	return &cache{blocks: make(map[uint64]*block), idle: list.New(), eventGap: eventGap}
}

// matchPrefix returns the number of leading blocks that are in the cache.
func (c *cache) matchPrefix(blocks []uint64) int {
	for i, hash := range blocks {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(blocks)
}

// countUnpinned counts the blocks that no attempt uses. All given blocks must be in the cache.
func (c *cache) countUnpinned(blocks []uint64) int {
	count := 0
	for _, hash := range blocks {
		if c.blocks[hash].pins == 0 {
			count++
		}
	}
	return count
}

func (c *cache) pin(blocks []uint64) {
	for _, hash := range blocks {
		b := c.blocks[hash]
		if b.pins == 0 {
			c.idle.Remove(b.element)
			b.element = nil
			c.pinnedBlocks++
		}
		b.pins++
	}
}

// unpin unpins the blocks from last to first, so that the end of a prefix is evicted before its start.
func (c *cache) unpin(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := c.blocks[blocks[i]]
		b.pins--
		if b.pins == 0 {
			b.element = c.idle.PushBack(b)
			c.pinnedBlocks--
		}
	}
}

// add stores a block with one pin. It returns false if the cache already has the block.
func (c *cache) add(hash uint64, now time.Time) bool {
	if c.blocks[hash] != nil {
		return false
	}
	c.blocks[hash] = &block{hash: hash, pins: 1}
	c.pinnedBlocks++
	c.recordEvent(hash, false, now)
	return true
}

// evictIdle evicts idle blocks until at most limit of them remain.
func (c *cache) evictIdle(limit int, now time.Time) {
	for c.idle.Len() > max(0, limit) {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.blocks, b.hash)
		c.recordEvent(b.hash, true, now)
	}
}

func (c *cache) recordEvent(hash uint64, evicted bool, now time.Time) {
	c.sequence++
	if c.eventGap > 0 && c.sequence%uint64(c.eventGap) == 0 {
		return
	}
	if len(c.pendingEvents) == maxPendingEvents {
		c.pendingEvents = append(c.pendingEvents[:0], c.pendingEvents[maxPendingEvents/2:]...)
	}
	c.pendingEvents = append(c.pendingEvents, cacheEvent{
		CacheEvent: endpoint.CacheEvent{Sequence: c.sequence, Block: hash, Evicted: evicted},
		at:         now,
	})
}

// takeEvents removes and returns at most limit events recorded at or before the given time.
func (c *cache) takeEvents(before time.Time, limit int) []endpoint.CacheEvent {
	var due []endpoint.CacheEvent
	for len(due) < min(limit, len(c.pendingEvents)) && !c.pendingEvents[len(due)].at.After(before) {
		due = append(due, c.pendingEvents[len(due)].CacheEvent)
	}
	c.pendingEvents = append(c.pendingEvents[:0], c.pendingEvents[len(due):]...)
	return due
}
