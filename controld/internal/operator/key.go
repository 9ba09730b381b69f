package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

// Operator is an operator listed in the settings.
type Operator struct {
	Name    string `yaml:"name" validate:"required" description:"Name of the operator in the history."`
	KeyHash string `yaml:"key-hash" validate:"required,len=64,hexadecimal,lowercase" description:"Hexadecimal SHA-256 sum of the operator's key."`
}

type operatorContextKey struct{}

// authenticate rejects requests without an operator key and adds the operator's name to the context of the
// others.
func (a *API) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := a.authenticatedOperator(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			a.fail(w, r, http.StatusUnauthorized, fault.New("authenticate", Denied, "the request carries no operator key"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)))
	})
}

func (a *API) authenticatedOperator(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	hash := []byte(language.HashKey(key))
	name, found := "", false
	for _, operator := range a.config.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(operator.KeyHash)) == 1 {
			name, found = operator.Name, true
		}
	}
	return name, found
}

func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorContextKey{}).(string)
	return name
}

// checkKeys rejects changes that assign the key of an operator to a workspace, so that no key is valid for
// both callers and operators.
func (a *API) checkKeys(changes []configuration.Change) error {
	for _, change := range changes {
		if change.Workspace == nil || change.Delete {
			continue
		}
		for _, operator := range a.config.Operators {
			if slices.Contains(change.Workspace.KeyHashes, operator.KeyHash) {
				return fault.New("check keys", Denied, "workspace %q: the key of an operator cannot be a caller's key", change.Workspace.Name)
			}
		}
	}
	return nil
}
