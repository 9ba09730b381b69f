// Package prefix hashes the leading blocks of prompts, so that a dispatcher can tell which engine
// already holds a prefix in its cache.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the length of a block in tokens.
	BlockTokens = 1024
	blockBytes  = 4 * BlockTokens
)

// Blocks returns the chained hash of each full block of a prompt: equal hashes at position i mean
// that the first i+1 blocks are equal. The seed keeps workspaces and models apart.
func Blocks(seed string, prompt []byte) []uint64 {
	count := len(prompt) / blockBytes
	blocks := make([]uint64, 0, count)
	chain := xxhash.Sum64String(seed)
	var previous [8]byte
	var digest xxhash.Digest
	for i := range count {
		binary.LittleEndian.PutUint64(previous[:], chain)
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		chain = digest.Sum64()
		blocks = append(blocks, chain)
	}
	return blocks
}
