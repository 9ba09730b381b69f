package prefix_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/prefix"
)

// Guards against block hashes that depend on how a prompt is split into pieces: entries and engines
// would then disagree about the blocks in the prefix cache.
func TestHasherEqualsHashBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.SliceOfN(rapid.Byte(), 0, 20_000).Draw(t, "prompt")
		hasher := prefix.NewHasher("oak")
		for rest := prompt; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			_, _ = hasher.Write(rest[:n])
			rest = rest[n:]
		}
		want := prefix.HashBlocks("oak", prompt)
		is.New(t).Equal(len(hasher.Hashes()), len(want))
		for i := range want {
			is.New(t).Equal(hasher.Hashes()[i], want[i])
		}
	})
}
