package configuration

const (
	// cellReplicas is the number of replicas for which a model has one cell.
	cellReplicas = 32
	// maxCells bounds the cells of a model, so that a mistyped number of replicas does not make every
	// entry assign millions of them.
	maxCells = 256
)

// Cells returns the number of cells that the model has in each region. It depends on nothing but the
// declared replicas, so entries with the same revision agree on it.
func (m Model) Cells() int {
	return min(maxCells, max(1, (m.Replicas+cellReplicas-1)/cellReplicas))
}
