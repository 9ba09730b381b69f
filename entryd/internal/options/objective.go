package options

import (
	"fmt"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/burn"
	"github.com/dandelionpier/dandelionpier/internal/settings"
)

// Objective is a service-level objective in the settings. Omitted values of a workspace's objective are
// inherited from the objective of its length class, and those of a class from the default.
type Objective struct {
	Class     string `yaml:"class" validate:"required,oneof=short medium long" description:"Length class of the requests."`
	Workspace string `yaml:"workspace" validate:"max=256" description:"Workspace that the objective is for; empty means all that have none of their own."`

	TTFT          *time.Duration `yaml:"ttft" validate:"omitnil,min=0s,max=900s" description:"Bound on the time to first token; 0s means none."`
	InterToken    *time.Duration `yaml:"inter-token" validate:"omitnil,min=0s,max=900s" description:"Bound on the mean time between tokens; 0s means none."`
	Slowdown      *float64       `yaml:"slowdown" validate:"omitnil,min=0,max=1000" description:"Bound on the factor by which long requests may delay the first token; 0 means none."`
	Target        *float64       `yaml:"target" validate:"omitnil,gt=0,lt=1" description:"Share of requests that meet the bounds."`
	SuccessTarget *float64       `yaml:"success-target" validate:"omitnil,gt=0,lt=1" description:"Share of requests that end without an error of the system."`
}

// applyTo returns base with the values that the settings specify.
func (o Objective) applyTo(base burn.Objective) burn.Objective {
	base.Workspace = o.Workspace
	setIfGiven(&base.TTFT, o.TTFT)
	setIfGiven(&base.InterToken, o.InterToken)
	setIfGiven(&base.Slowdown, o.Slowdown)
	setIfGiven(&base.Target, o.Target)
	setIfGiven(&base.SuccessTarget, o.SuccessTarget)
	return base
}

func setIfGiven[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

// BurnObjectives returns the objectives of the length classes, followed by those of single workspaces.
func (o *Options) BurnObjectives() []burn.Objective {
	objectives := burn.DefaultObjectives()
	classes := make(map[string]*burn.Objective)
	for i := range objectives {
		classes[objectives[i].Class] = &objectives[i]
	}
	for _, setting := range o.Objectives {
		if setting.Workspace == "" {
			*classes[setting.Class] = setting.applyTo(*classes[setting.Class])
		}
	}
	forWorkspaces := make([]burn.Objective, 0, len(o.Objectives))
	for _, setting := range o.Objectives {
		if setting.Workspace != "" {
			forWorkspaces = append(forWorkspaces, setting.applyTo(*classes[setting.Class]))
		}
	}
	return append(objectives, forWorkspaces...)
}

// checkObjectives rejects duplicate objectives and a slowdown bound for the long class, whose requests are
// the ones that slow others down.
func checkObjectives(path string, objectives []Objective) error {
	type scope struct{ workspace, class string }
	seen := make(map[scope]bool)
	for i, objective := range objectives {
		option := fmt.Sprintf("objectives[%d]", i)
		key := scope{objective.Workspace, objective.Class}
		if seen[key] {
			return settings.NewOptionError(path, option, "the objective of class %s and workspace %q is given twice", key.class, key.workspace)
		}
		seen[key] = true
		if objective.Class == burn.LongClass && objective.Slowdown != nil && *objective.Slowdown > 0 {
			return settings.NewOptionError(path, option+".slowdown", "slowdown does not apply to class %s, whose requests slow the others down", key.class)
		}
	}
	return nil
}
