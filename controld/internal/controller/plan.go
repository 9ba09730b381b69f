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
	dataCentre    string
	checksFencing bool
	// announcedState comes from its announcement. state is what the engine itself reported in this round
	// if polled is set, and otherwise comes from its announcement too.
	announcedState endpoint.State
	state          endpoint.PlatformState
	polled         bool
	drained        bool
	// pendingTarget is what the engine was last ordered to load, until that is observed; its model is
	// empty when no load is pending.
	pendingTarget target
}

// target is the desired state of an engine.
type target struct {
	model    string
	version  string
	adapters []string
	role     string
}

// declaredModel returns the declared model that the engine has or is ordered to load, or an empty string.
func (e engine) declaredModel(models map[string]configuration.Model) string {
	if _, declared := models[e.pendingTarget.model]; declared {
		return e.pendingTarget.model
	}
	for _, name := range e.state.Models {
		if _, declared := models[name]; declared {
			return name
		}
	}
	return ""
}

// ready reports whether the engine can serve requests for the model now.
func (e engine) ready(model string) bool {
	return e.polled && e.announcedState == endpoint.Ready && !e.drained && !e.state.Loading && e.pendingTarget.model == "" &&
		slices.Contains(e.state.Models, model)
}

// matches reports whether the engine has the desired state.
func (e engine) matches(t target) bool {
	return !e.needsLoad(t) && (t.role == "" || t.role == e.state.Role)
}

// needsLoad reports whether the engine must load from the weight store to reach the target.
func (e engine) needsLoad(t target) bool {
	return !slices.Contains(e.state.Models, t.model) || e.state.Version != t.version || !sameSet(e.state.Adapters, t.adapters)
}

func sameSet(a, b []string) bool {
	return slices.Equal(slices.Compact(slices.Sorted(slices.Values(a))), slices.Compact(slices.Sorted(slices.Values(b))))
}

// plan returns the desired state of each engine that should serve a declared model. Engines keep the
// declared model that they serve. A model that lacks replicas, and for which mayAssign returns true, is
// assigned engines without a declared model first, and then engines of models with surplus replicas.
// No model is unloaded unless its engine is reassigned.
func plan(conf configuration.Configuration, roles map[string]string, engines []engine, mayAssign func(model string) bool) map[string]target {
	models := conf.Models
	serving := modelByEngine(models, engines)
	assign(models, engines, serving, mayAssign)
	desired := make(map[string]target, len(engines))
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
		desired[e.name] = t
	}
	return desired
}

// modelByEngine returns the declared model of each engine by the name of the engine; it is empty for an
// engine without one.
func modelByEngine(models map[string]configuration.Model, engines []engine) map[string]string {
	serving := make(map[string]string, len(engines))
	for _, e := range engines {
		serving[e.name] = e.declaredModel(models)
	}
	return serving
}

// hasUnknownLoad reports whether an engine is loading something that this leader did not order. Until
// that is known, assigning another engine to a model could exceed its replicas.
func hasUnknownLoad(models map[string]configuration.Model, engines []engine) bool {
	return slices.ContainsFunc(engines, func(e engine) bool { return e.state.Loading && e.declaredModel(models) == "" })
}

// assign assigns engines to the models that lack replicas, in the order of the models' names.
func assign(models map[string]configuration.Model, engines []engine, serving map[string]string, mayAssign func(string) bool) {
	replicaCount := make(map[string]int)
	for _, e := range engines {
		replicaCount[serving[e.name]]++
	}
	for _, name := range slices.Sorted(maps.Keys(models)) {
		for replicaCount[name] < models[name].Replicas && mayAssign(name) {
			e, found := spareEngine(name, models, engines, serving, replicaCount)
			if !found {
				break
			}
			replicaCount[serving[e.name]]--
			replicaCount[name]++
			serving[e.name] = name
		}
	}
}

// spareEngine returns the engine to assign to a model. It prefers an engine without a declared model to
// one of a model with surplus replicas, then one in the region with the fewest replicas of the model, and
// then the first by name.
func spareEngine(name string, models map[string]configuration.Model, engines []engine, serving map[string]string, replicaCount map[string]int) (engine, bool) {
	inRegion := make(map[string]int)
	for _, e := range engines {
		if serving[e.name] == name {
			inRegion[e.region]++
		}
	}
	var candidates []engine
	for _, e := range engines {
		from := serving[e.name]
		if from == name || e.drained || e.announcedState != endpoint.Ready || e.state.Loading {
			continue
		}
		if from == "" || replicaCount[from] > max(1, models[from].Replicas) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return engine{}, false
	}
	return slices.MinFunc(candidates, func(a, b engine) int {
		return cmp.Or(
			cmp.Compare(min(1, len(serving[a.name])), min(1, len(serving[b.name]))),
			cmp.Compare(inRegion[a.region], inRegion[b.region]),
			cmp.Compare(a.name, b.name),
		)
	}), true
}
