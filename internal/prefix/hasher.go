package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Hasher computes the hashes of HashBlocks for a prompt that is written in pieces, without buffering it.
type Hasher struct {
	digest       xxhash.Digest
	previousHash uint64
	bytesInBlock int
	hashes       []uint64
}

// NewHasher returns a Hasher; the seed is that of HashBlocks.
func NewHasher(seed string) *Hasher {
	return &Hasher{previousHash: xxhash.Sum64String(seed)}
}

// Write adds a piece of the prompt. The error is always nil.
func (h *Hasher) Write(piece []byte) (int, error) {
	written := len(piece)
	for len(piece) > 0 {
		if h.bytesInBlock == 0 {
			var previous [8]byte
			binary.LittleEndian.PutUint64(previous[:], h.previousHash)
			h.digest.Reset()
			_, _ = h.digest.Write(previous[:])
		}
		n := min(blockBytes-h.bytesInBlock, len(piece))
		_, _ = h.digest.Write(piece[:n])
		h.bytesInBlock += n
		piece = piece[n:]
		if h.bytesInBlock == blockBytes {
			h.previousHash = h.digest.Sum64()
			h.hashes = append(h.hashes, h.previousHash)
			h.bytesInBlock = 0
		}
	}
	return written, nil
}

// Hashes returns the hashes of the full blocks written so far.
func (h *Hasher) Hashes() []uint64 {
	return h.hashes
}
