package configuration

const (
	// cellReplicas is the largest number of replicas per cell.
	cellReplicas = 32
	// maxCells limits the cells of a model, so that a mistyped number of replicas does not make every
	// entry assign dispatchers to millions of cells.
	maxCells = 256
)

// Cells returns the number of cells that the model has in each region. It depends only on the declared
// replicas, so entries with the same revision agree on it.
func (m Model) Cells() int {
	return min(maxCells, max(1, (m.Replicas+cellReplicas-1)/cellReplicas))
}
