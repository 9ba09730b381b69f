package routing

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// Config is the content of a Table.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is a validated declaration. It is immutable and safe for concurrent use.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// hosts maps each host to its routes, those with the longest prefix first.
	hosts map[string][]Route
	// keys maps the workspaces' keys to their owners.
	keys map[string]Workspace
	// keysRequired says that workspaces are declared, so that routes that are not public need a key.
	keysRequired bool
	// urgentRoute has the lowest priority number of the routes of each service, urgentWorkspace that of the workspaces.
	urgentRoute     map[string]int
	urgentWorkspace int
}

// New returns the table of a declaration. An error of kind Invalid says why it must not be accepted.
func New(config Config) (*Table, error) {
	t := &Table{
		version:      config.Version,
		limits:       config.Limits,
		services:     make(map[string]Service, len(config.Services)),
		hosts:        make(map[string][]Route),
		keys:         make(map[string]Workspace),
		keysRequired: len(config.Workspaces) > 0,
	}
	for _, s := range config.Services {
		if s.Name == "" {
			return nil, fault.New("check services", Invalid, "a service has no name")
		}
		t.services[s.Name] = s
	}
	for _, r := range config.Routes {
		if err := t.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.findUrgent(config)
	return t, t.addWorkspaces(config.Workspaces)
}

func (t *Table) addRoute(r Route) error {
	const op = "check routes"
	total := 0
	for _, target := range r.Targets {
		if _, ok := t.services[target.Service]; !ok {
			return fault.New(op, Invalid, "route %q names service %q, which does not exist", r.Name, target.Service)
		}
		if target.Weight < 0 {
			return fault.New(op, Invalid, "route %q has a negative weight", r.Name)
		}
		total += target.Weight
	}
	switch {
	case total == 0:
		return fault.New(op, Invalid, "the weights of route %q add up to 0", r.Name)
	case r.Timeout <= 0:
		return fault.New(op, Invalid, "route %q has no timeout", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fault.New(op, Invalid, "the prefix of route %q does not begin and end with a slash", r.Name)
	}
	host := canonicalHost(r.Host)
	if slices.ContainsFunc(t.hosts[host], func(declared Route) bool { return declared.Prefix == r.Prefix }) {
		return fault.New(op, Invalid, "two routes have host %q and prefix %q", r.Host, r.Prefix)
	}
	r.Host = host
	t.hosts[host] = append(t.hosts[host], r)
	return nil
}

func (t *Table) addWorkspaces(workspaces []Workspace) error {
	for _, w := range workspaces {
		for _, key := range w.Keys {
			if other, taken := t.keys[key]; taken {
				return fault.New("check workspaces", Invalid, "workspaces %q and %q have the same key", other.Name, w.Name)
			}
			t.keys[key] = w
		}
	}
	return nil
}

// canonicalHost drops the port of a host and ignores case, as callers may send either.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Version returns the version under which the table was declared.
func (t *Table) Version() uint64 {
	return t.version
}

// Limits returns what callers may send.
func (t *Table) Limits() Limits {
	return t.limits
}

// Service returns a declared service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the names of the declared services, sorted.
func (t *Table) Services() []string {
	return slices.Sorted(maps.Keys(t.services))
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Admit returns the workspace of a key, and false when the route needs a key and this is not the key of a workspace.
// Requests without a workspace have an empty name.
func (t *Table) Admit(r Route, key string) (Workspace, bool) {
	if !t.keysRequired {
		return Workspace{Priority: r.Priority}, true
	}
	if w, ok := t.keys[key]; ok && key != "" {
		return w, true
	}
	return Workspace{Priority: r.Priority}, r.Public
}

// Target picks the service of a request by a number in [0, 1).
func (r Route) Target(random float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := int(random * float64(total))
	for _, target := range r.Targets {
		if remaining < target.Weight {
			return target.Service
		}
		remaining -= target.Weight
	}
	return ""
}
