// Package prefix hashes the leading blocks of prompts, so that a dispatcher can look up which engine
// already holds a prefix in its cache.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 1024
	// blockBytes is the size of a block at 4 bytes per token, the estimate of endpoint.Tokens.
	blockBytes = 4 * BlockTokens
)

// HashBlocks returns the chained hash of each full block of a prompt: equal hashes at position i mean
// that the first i+1 blocks are equal. Different seeds give different hashes: entries use the name of the
// requested model, so that models share no blocks.
func HashBlocks(seed string, prompt []byte) []uint64 {
	count := len(prompt) / blockBytes
	hashes := make([]uint64, 0, count)
	hash := xxhash.Sum64String(seed)
	var previous [8]byte
	var digest xxhash.Digest
	for i := range count {
		binary.LittleEndian.PutUint64(previous[:], hash)
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		hash = digest.Sum64()
		hashes = append(hashes, hash)
	}
	return hashes
}
