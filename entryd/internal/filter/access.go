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

// Authenticate finds the workspace of the bearer key. A lost lease does not matter here: Lease checks it.
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

// keyIndex finds workspaces by the SHA-256 of their keys.
type keyIndex struct {
	revision   uint64
	workspaces map[string]keyEntry
}

type keyEntry struct {
	hash      string
	workspace string
}

func newKeyIndex(c configuration.Configuration) *keyIndex {
	index := &keyIndex{revision: c.Revision, workspaces: make(map[string]keyEntry)}
	for name, workspace := range c.Workspaces {
		for _, hash := range workspace.KeyHashes {
			hash = strings.ToLower(hash)
			index.workspaces[hash] = keyEntry{hash: hash, workspace: name}
		}
	}
	return index
}

// find hashes the key before it is compared, so that the time taken says nothing about stored keys;
// the comparison of the hashes takes constant time.
func (i *keyIndex) find(headers []string) (keyEntry, bool) {
	if len(headers) != 1 {
		return keyEntry{}, false
	}
	scheme, key, _ := strings.Cut(headers[0], " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return keyEntry{}, false
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	entry := i.workspaces[hash]
	if subtle.ConstantTimeCompare([]byte(entry.hash), []byte(hash)) != 1 {
		return keyEntry{}, false
	}
	return entry, true
}

func invalidKey() refusal.Error {
	return refusal.New(http.StatusUnauthorized, "invalid-key", refusal.DidNotRun,
		"The header Authorization must be Bearer with a key of a workspace.")
}

// Readmit takes the newest view and checks lease and key again. A body can take minutes to arrive,
// and a change that was accepted in between is in force for the request.
func Readmit(view func() (session.View, error), x *exchange.Exchange) error {
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

// Lease refuses requests while the session's lease does not hold, and names other addresses.
func Lease(view func() (session.View, error), others func(session.View) []string) Filter {
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
