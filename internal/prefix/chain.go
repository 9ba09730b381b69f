package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Chain computes what Blocks returns for a prompt that is written in pieces, without keeping it.
type Chain struct {
	digest xxhash.Digest
	last   uint64
	filled int
	blocks []uint64
}

// NewChain returns a chain with the seed of Blocks.
func NewChain(seed string) *Chain {
	return &Chain{last: xxhash.Sum64String(seed)}
}

// Write adds a piece of the prompt. The error is always nil.
func (c *Chain) Write(piece []byte) (int, error) {
	written := len(piece)
	for len(piece) > 0 {
		if c.filled == 0 {
			var previous [8]byte
			binary.LittleEndian.PutUint64(previous[:], c.last)
			c.digest.Reset()
			_, _ = c.digest.Write(previous[:])
		}
		n := min(blockBytes-c.filled, len(piece))
		_, _ = c.digest.Write(piece[:n])
		c.filled += n
		piece = piece[n:]
		if c.filled == blockBytes {
			c.last = c.digest.Sum64()
			c.blocks = append(c.blocks, c.last)
			c.filled = 0
		}
	}
	return written, nil
}

// Blocks returns the hashes of the full blocks written so far.
func (c *Chain) Blocks() []uint64 {
	return c.blocks
}
