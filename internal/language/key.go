package language

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// generatedKeyBytes is the entropy of a generated key in bytes.
const generatedKeyBytes = 32

// GeneratedKey is a key that was generated for a workspace. The client shows the key once and sends only
// its hash.
type GeneratedKey struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Hash      string `json:"hash"`
}

// HashKey returns the hexadecimal SHA-256 hash that is stored in place of a key.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// GenerateKeys generates a random key for each "add key new" of the transaction and returns the keys. It
// modifies t, replacing the word new with the hash of the key.
func GenerateKeys(t *Transaction) []GeneratedKey {
	var generated []GeneratedKey
	for _, command := range t.Commands {
		if command.Add == nil || !command.Add.Hash.is(newKey) {
			continue
		}
		random := make([]byte, generatedKeyBytes)
		_, _ = rand.Read(random) // crypto/rand.Read never returns an error
		key := base64.RawURLEncoding.EncodeToString(random)
		command.Add.Hash.Token = HashKey(key)
		generated = append(generated, GeneratedKey{Workspace: command.Add.Workspace.Text(), Key: key, Hash: HashKey(key)})
	}
	return generated
}
