package language

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// keyBytes is the entropy of a generated key.
const keyBytes = 32

// MadeKey is a key that was made for a workspace. The key itself leaves the client only by its display.
type MadeKey struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Hash      string `json:"hash"`
}

// HashKey returns the hexadecimal SHA-256 sum by which a key is stored.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// MakeKeys replaces each "add key new" of the transaction by the sum of a fresh random key and
// returns the keys. It changes t.
func MakeKeys(t *Transaction) []MadeKey {
	var made []MadeKey
	for _, command := range t.Commands {
		if command.Add == nil || !command.Add.Hash.is(newKey) {
			continue
		}
		random := make([]byte, keyBytes)
		_, _ = rand.Read(random) // crypto/rand.Read never returns an error
		key := base64.RawURLEncoding.EncodeToString(random)
		command.Add.Hash.Token = HashKey(key)
		made = append(made, MadeKey{Workspace: command.Add.Workspace.Text(), Key: key, Hash: HashKey(key)})
	}
	return made
}
