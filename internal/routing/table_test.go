package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/routing"
)

func route(name, prefix string) routing.Route {
	return routing.Route{
		Name: name, Host: "desk.example", Prefix: prefix, RetryPolicy: routing.Idempotent, Timeout: time.Second,
		Targets: []routing.Target{{Service: "desk", Weight: 1}}, Attempts: 2,
	}
}

func config(routes ...routing.Route) routing.Config {
	return routing.Config{
		Version:    7,
		Routes:     routes,
		Services:   []routing.Service{{Name: "desk"}, {Name: "model"}},
		Workspaces: []routing.Workspace{{Name: "shop", Keys: []string{"a", "b"}}, {Name: "office", Keys: []string{"c"}}},
	}
}

// Guards against accepting a declaration that contradicts itself, and against refusing a valid one.
func TestNewRefusesContradictions(t *testing.T) {
	tests := map[string]struct {
		change func(*routing.Config)
		valid  bool
	}{
		"sound":           {change: func(*routing.Config) {}, valid: true},
		"unknown service": {change: func(c *routing.Config) { c.Routes[0].Targets[0].Service = "none" }},
		"same place":      {change: func(c *routing.Config) { c.Routes[1].Prefix = c.Routes[0].Prefix }},
		"no weight":       {change: func(c *routing.Config) { c.Routes[0].Targets[0].Weight = 0 }},
		"no target":       {change: func(c *routing.Config) { c.Routes[0].Targets = nil }},
		"no timeout":      {change: func(c *routing.Config) { c.Routes[0].Timeout = 0 }},
		"shared key":      {change: func(c *routing.Config) { c.Workspaces[1].Keys = []string{"a"} }},
		"one weight of 0": {change: func(c *routing.Config) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, routing.Target{Service: "model"})
		}, valid: true},
		"same prefix, other host": {change: func(c *routing.Config) {
			c.Routes[1].Prefix, c.Routes[1].Host = c.Routes[0].Prefix, "other.example"
		}, valid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := config(route("one", "/one/"), route("two", "/two/"))
			test.change(&c)
			_, err := routing.New(c)
			is.Equal(err == nil, test.valid)
			is.True(test.valid || fault.Is(err, routing.Invalid))
		})
	}
}

// Guards against a request that goes to a route with a shorter prefix, or to one whose prefix ends within a path segment.
func TestMatchTakesLongestPrefix(t *testing.T) {
	table, err := routing.New(config(route("one", "/one/"), route("deep", "/one/deep/"), route("all", "/")))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ host, path, route string }{
		"longest":        {"desk.example", "/one/deep/x", "deep"},
		"shorter":        {"desk.example", "/one/x", "one"},
		"without slash":  {"desk.example", "/one", "all"},
		"host and port":  {"DESK.example:80", "/one/x", "one"},
		"unknown host":   {"other.example", "/one/x", ""},
		"resembles only": {"desk.example", "/onedeep/x", "all"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, ok := table.Match(test.host, test.path)
			is.Equal(ok, test.route != "")
			is.Equal(r.Name, test.route)
		})
	}
}

// Guards against a request without a declared key reaching a service.
func TestAdmitNeedsDeclaredKey(t *testing.T) {
	table, err := routing.New(config(route("one", "/one/")))
	if err != nil {
		t.Fatal(err)
	}
	open := route("open", "/open/")
	open.Public = true
	tests := map[string]struct {
		route     routing.Route
		key       string
		workspace string
		ok        bool
	}{
		"known key":               {route("one", "/one/"), "b", "shop", true},
		"unknown key":             {route("one", "/one/"), "z", "", false},
		"no key":                  {route("one", "/one/"), "", "", false},
		"public without key":      {open, "", "", true},
		"public with known key":   {open, "c", "office", true},
		"public with unknown key": {open, "z", "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, ok := table.Admit(test.route, test.key)
			is.Equal(ok, test.ok)
			is.Equal(w.Name, test.workspace)
		})
	}
}

func ExampleRoute_Target() {
	r := routing.Route{Targets: []routing.Target{{Service: "stable", Weight: 90}, {Service: "next", Weight: 10}}}
	fmt.Println(r.Target(0), r.Target(0.89), r.Target(0.95))
	// Output: stable stable next
}

// Guards against ranks that depend on the numbers that a declaration happens to use, and against workspaces that do not go
// before routes.
func TestRanks(t *testing.T) {
	is := is.New(t)
	route := func(name string, priority int, service string) routing.Route {
		return routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Timeout: time.Second, Priority: priority, Targets: []routing.Target{{Service: service, Weight: 1}}}
	}
	chat, digest, file := route("chat", 3, "model"), route("digest", 5, "model"), route("file", 7, "desk")
	shop, other := routing.Workspace{Name: "shop", Priority: 2}, routing.Workspace{Name: "other", Priority: 3}
	table, err := routing.New(routing.Config{
		Routes: []routing.Route{chat, digest, file}, Services: []routing.Service{{Name: "model"}, {Name: "desk"}}, Workspaces: []routing.Workspace{shop, other},
	})
	is.NoErr(err)
	is.Equal(table.Rank("model", chat, shop), routing.Rank{})
	is.Equal(table.Rank("model", digest, shop), routing.Rank{Route: 2})
	is.Equal(table.Rank("model", chat, other), routing.Rank{Workspace: 1})
	is.Equal(table.Rank("desk", file, shop), routing.Rank{})
	is.Equal(table.Rank("model", digest, routing.Workspace{Priority: digest.Priority}), routing.Rank{Route: 2}) // without a key
}
