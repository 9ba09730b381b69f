package controller

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

// engine is an engine as observed in a round.
type engine struct {
	name          string
	address       string
	region        string
	checksFencing bool
	// announced is what its announcement says, state what it answered in this round, if polled.
	announced endpoint.State
	state     endpoint.PlatformState
	polled    bool
	drained   bool
	// ordered is what it was last ordered to load, while that is not yet observed; its model is empty
	// when there is no such order.
	ordered target
}

// target is the wanted state of an engine.
type target struct {
	model    string
	version  string
	adapters []string
	role     string
}

// serves returns the declared model that the engine has or is about to have, or an empty string.
func (e engine) serves(models map[string]configuration.Model) string {
	if _, declared := models[e.ordered.model]; declared {
		return e.ordered.model
	}
	for _, name := range e.state.Models {
		if _, declared := models[name]; declared {
			return name
		}
	}
	return ""
}

// ready reports whether the engine can take work for the model now.
func (e engine) ready(model string) bool {
	return e.polled && e.announced == endpoint.Ready && !e.drained && !e.state.Loading && e.ordered.model == "" &&
		slices.Contains(e.state.Models, model)
}

// agrees reports whether the engine has the wanted state.
func (e engine) agrees(t target) bool {
	return !e.needsLoad(t) && (t.role == "" || t.role == e.state.Role)
}

// needsLoad reports whether the engine must read from the weight store to reach the target.
func (e engine) needsLoad(t target) bool {
	return !slices.Contains(e.state.Models, t.model) || e.state.Version != t.version || !sameSet(e.state.Adapters, t.adapters)
}

func sameSet(a, b []string) bool {
	return slices.Equal(slices.Compact(slices.Sorted(slices.Values(a))), slices.Compact(slices.Sorted(slices.Values(b))))
}

// plan returns the wanted state of each engine that should serve a declared model. Engines keep the
// declared model that they serve; engines without one, and then engines of models that have more
// than their replicas, are given to the models for which mayAssign holds and that lack some. Nothing
// is unloaded without need.
func plan(conf configuration.Configuration, roles map[string]string, engines []engine, mayAssign func(model string) bool) map[string]target {
	models := conf.Models
	serving := servingOf(models, engines)
	assign(models, engines, serving, mayAssign)
	wanted := make(map[string]target, len(engines))
	for _, e := range engines {
		name := serving[e.name]
		if name == "" {
			continue
		}
		model := models[name]
		t := target{model: name, version: model.Version, adapters: model.Adapters, role: roles[e.name]}
		if t.version == "" {
			t.version = e.state.Version
		}
		if setting := conf.Endpoints[e.name].Role; setting != "" {
			t.role = setting
		}
		wanted[e.name] = t
	}
	return wanted
}

// servingOf returns the declared model of each engine that has one.
func servingOf(models map[string]configuration.Model, engines []engine) map[string]string {
	serving := make(map[string]string, len(engines))
	for _, e := range engines {
		serving[e.name] = e.serves(models)
	}
	return serving
}

// unknownLoad reports whether an engine loads what this leader did not order. Until it is known what
// that is, an engine given to the same model could be one too many.
func unknownLoad(models map[string]configuration.Model, engines []engine) bool {
	return slices.ContainsFunc(engines, func(e engine) bool { return e.state.Loading && e.serves(models) == "" })
}

// assign gives engines to the models that lack replicas, in the order of the models' names.
func assign(models map[string]configuration.Model, engines []engine, serving map[string]string, mayAssign func(string) bool) {
	count := make(map[string]int)
	for _, e := range engines {
		count[serving[e.name]]++
	}
	for _, name := range slices.Sorted(maps.Keys(models)) {
		for count[name] < models[name].Replicas && mayAssign(name) {
			e, found := spare(name, models, engines, serving, count)
			if !found {
				break
			}
			count[serving[e.name]]--
			count[name]++
			serving[e.name] = name
		}
	}
}

// spare returns the engine to give to a model: one without a declared model before one of a model
// with too many, then in the region with the fewest replicas of the model, then by name.
func spare(name string, models map[string]configuration.Model, engines []engine, serving map[string]string, count map[string]int) (engine, bool) {
	inRegion := make(map[string]int)
	for _, e := range engines {
		if serving[e.name] == name {
			inRegion[e.region]++
		}
	}
	var free []engine
	for _, e := range engines {
		from := serving[e.name]
		if from == name || e.drained || e.announced != endpoint.Ready || e.state.Loading {
			continue
		}
		if from == "" || count[from] > max(1, models[from].Replicas) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return engine{}, false
	}
	return slices.MinFunc(free, func(a, b engine) int {
		return cmp.Or(
			cmp.Compare(min(1, len(serving[a.name])), min(1, len(serving[b.name]))),
			cmp.Compare(inRegion[a.region], inRegion[b.region]),
			cmp.Compare(a.name, b.name),
		)
	}), true
}
