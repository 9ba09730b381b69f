package operator

import (
	"slices"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

// checkDataCentres rejects the drain of a data centre that the deployment does not have.
func (a *API) checkDataCentres(changes []configuration.Change) error {
	if len(a.config.DataCentres) == 0 {
		return nil
	}
	for _, change := range changes {
		setting := change.DataCentre
		if setting == nil || change.Delete || !setting.Drain || slices.Contains(a.config.DataCentres, setting.Name) {
			continue
		}
		return fault.New("check data centres", Malformed, "the deployment has no data centre %q, only %s", setting.Name, strings.Join(a.config.DataCentres, ", "))
	}
	return nil
}
