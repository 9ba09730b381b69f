package filter

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/dandelionpier/dandelionpier/entryd/internal/exchange"
	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/refusal"
	"github.com/dandelionpier/dandelionpier/internal/session"
)

// Authenticate looks up the workspace of the bearer key. It accepts the last known configuration even when
// the lease has expired: RequireLease checks that.
func Authenticate(view func() (session.View, error)) Filter {
	var index atomic.Pointer[keyIndex]
	return func(next Handler) Handler {
		return func(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
			v, err := view()
			if err != nil && v.Configuration.Revision == 0 {
				return leaseExpired(nil)
			}
			current := index.Load()
			if current == nil || current.revision != v.Configuration.Revision {
				current = newKeyIndex(v.Configuration)
				index.Store(current)
			}
			entry, ok := current.find(r.Header.Values("Authorization"))
			if !ok {
				return invalidKey()
			}
			x.View = v
			x.KeyHash = entry.hash
			x.Workspace = v.Configuration.Workspaces[entry.workspace]
			return next(w, r, x)
		}
	}
}

// keyIndex maps the SHA-256 of each key to its workspace, for one configuration revision.
type keyIndex struct {
	revision uint64
	byHash   map[string]indexedKey
}

type indexedKey struct {
	hash      string
	workspace string
}

func newKeyIndex(c configuration.Configuration) *keyIndex {
	index := &keyIndex{revision: c.Revision, byHash: make(map[string]indexedKey)}
	for name, workspace := range c.Workspaces {
		for _, hash := range workspace.KeyHashes {
			hash = strings.ToLower(hash)
			index.byHash[hash] = indexedKey{hash: hash, workspace: name}
		}
	}
	return index
}

// find looks up the key of the Authorization header. It hashes the key first and compares the hashes in
// constant time, so that the response time reveals nothing about the stored keys.
func (i *keyIndex) find(headers []string) (indexedKey, bool) {
	if len(headers) != 1 {
		return indexedKey{}, false
	}
	scheme, key, _ := strings.Cut(headers[0], " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return indexedKey{}, false
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	entry := i.byHash[hash]
	if subtle.ConstantTimeCompare([]byte(entry.hash), []byte(hash)) != 1 {
		return indexedKey{}, false
	}
	return entry, true
}

func invalidKey() refusal.Error {
	return refusal.New(http.StatusUnauthorized, "invalid-key", refusal.DidNotRun,
		"The header Authorization must be Bearer with a key of a workspace.")
}

// Revalidate checks the lease and the key again under the current configuration. A body can take minutes to
// arrive, and a configuration change accepted in the meantime applies to the request.
func Revalidate(view func() (session.View, error), x *exchange.Exchange) error {
	v, err := view()
	if err != nil {
		return leaseExpired(nil)
	}
	workspace, ok := v.Configuration.Workspaces[x.Workspace.Name]
	if !ok || !slices.ContainsFunc(workspace.KeyHashes, func(hash string) bool { return strings.EqualFold(hash, x.KeyHash) }) {
		return invalidKey()
	}
	x.View, x.Workspace = v, workspace
	return nil
}

// RequireLease refuses requests while the session's lease is expired, and returns the addresses of other entries.
func RequireLease(view func() (session.View, error), others func(session.View) []string) Filter {
	return func(next Handler) Handler {
		return func(w http.ResponseWriter, r *http.Request, x *exchange.Exchange) error {
			v, err := view()
			if err != nil {
				return leaseExpired(others(v))
			}
			return next(w, r, x)
		}
	}
}

func leaseExpired(addresses []string) refusal.Error {
	return refusal.New(http.StatusServiceUnavailable, "lease-expired", refusal.DidNotRun,
		"This entry has lost the connection to the control quorum; use another address.").WithAddresses(addresses)
}
