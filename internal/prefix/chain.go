package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Chain computes the hashes of Blocks for a prompt that is written in pieces, without buffering it.
type Chain struct {
	digest       xxhash.Digest
	previousHash uint64
	bytesInBlock int
	hashes       []uint64
}

// NewChain returns a Chain; the seed is that of Blocks.
func NewChain(seed string) *Chain {
	return &Chain{previousHash: xxhash.Sum64String(seed)}
}

// Write adds a piece of the prompt. The error is always nil.
func (c *Chain) Write(piece []byte) (int, error) {
	written := len(piece)
	for len(piece) > 0 {
		if c.bytesInBlock == 0 {
			var previous [8]byte
			binary.LittleEndian.PutUint64(previous[:], c.previousHash)
			c.digest.Reset()
			_, _ = c.digest.Write(previous[:])
		}
		n := min(blockBytes-c.bytesInBlock, len(piece))
		_, _ = c.digest.Write(piece[:n])
		c.bytesInBlock += n
		piece = piece[n:]
		if c.bytesInBlock == blockBytes {
			c.previousHash = c.digest.Sum64()
			c.hashes = append(c.hashes, c.previousHash)
			c.bytesInBlock = 0
		}
	}
	return written, nil
}

// Blocks returns the hashes of the full blocks written so far.
func (c *Chain) Blocks() []uint64 {
	return c.hashes
}
