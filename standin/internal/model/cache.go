package model

import (
	"container/list"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// maxEvents bounds the unpublished cache events; older ones are lost.
const maxEvents = 8192

// cache holds prefix blocks. Pinned blocks are in use by attempts, the others are evicted in least
// recently used order.
type cache struct {
	blocks       map[uint64]*block
	idle         *list.List
	pinnedBlocks int
	gap          int
	sequence     uint64
	events       []event
}

type block struct {
	hash uint64
	pins int
	// element is the block's place in the idle list, nil while it is pinned.
	element *list.Element
}

type event struct {
	endpoint.CacheEvent
	at time.Time
}

func newCache(gap int) *cache {
	return &cache{blocks: make(map[uint64]*block), idle: list.New(), gap: gap}
}

// match returns the length of the leading run of blocks that the cache holds.
func (c *cache) match(blocks []uint64) int {
	for i, hash := range blocks {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(blocks)
}

// unpinned counts the blocks that no attempt uses; all of them must be in the cache.
func (c *cache) unpinned(blocks []uint64) int {
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

// unpin releases blocks last to first, so that the end of a prefix is evicted before its start.
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

// add stores a block, pinned once. It returns false if the block is already there.
func (c *cache) add(hash uint64, now time.Time) bool {
	if c.blocks[hash] != nil {
		return false
	}
	c.blocks[hash] = &block{hash: hash, pins: 1}
	c.pinnedBlocks++
	c.publish(hash, false, now)
	return true
}

// shrink evicts idle blocks until at most limit remain.
func (c *cache) shrink(limit int, now time.Time) {
	for c.idle.Len() > max(0, limit) {
		b := c.idle.Remove(c.idle.Front()).(*block)
		delete(c.blocks, b.hash)
		c.publish(b.hash, true, now)
	}
}

func (c *cache) publish(hash uint64, evicted bool, now time.Time) {
	c.sequence++
	if c.gap > 0 && c.sequence%uint64(c.gap) == 0 {
		return
	}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, event{
		CacheEvent: endpoint.CacheEvent{Sequence: c.sequence, Block: hash, Evicted: evicted},
		at:         now,
	})
}

// take removes and returns at most limit events from before the given time.
func (c *cache) take(before time.Time, limit int) []endpoint.CacheEvent {
	var due []endpoint.CacheEvent
	for len(due) < min(limit, len(c.events)) && !c.events[len(due)].at.After(before) {
		due = append(due, c.events[len(due)].CacheEvent)
	}
	c.events = append(c.events[:0], c.events[len(due):]...)
	return due
}
