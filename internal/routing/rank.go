package routing

// Rank is the place of a request among those to its service by the declared priorities. Both parts are 0 for the most urgent.
type Rank struct {
	// Workspace counts from the most urgent workspace of the declaration and goes first, Route from the most urgent route of
	// the service.
	Workspace int `json:"workspace"`
	Route     int `json:"route"`
}

// Rank returns the rank of a request to a service.
func (t *Table) Rank(service string, r Route, w Workspace) Rank {
	rank := Rank{Route: max(0, r.Priority-t.urgentRoute[service])}
	if w.Name != "" {
		rank.Workspace = max(0, w.Priority-t.urgentWorkspace)
	}
	return rank
}

// findUrgent finds the most urgent priorities of the routes of each service and of the workspaces.
func (t *Table) findUrgent(config Config) {
	t.urgentRoute = make(map[string]int)
	for _, r := range config.Routes {
		for _, target := range r.Targets {
			if least, ok := t.urgentRoute[target.Service]; !ok || r.Priority < least {
				t.urgentRoute[target.Service] = r.Priority
			}
		}
	}
	for i, w := range config.Workspaces {
		if i == 0 || w.Priority < t.urgentWorkspace {
			t.urgentWorkspace = w.Priority
		}
	}
}
