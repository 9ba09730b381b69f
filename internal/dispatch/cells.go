package dispatch

import (
	"slices"
	"strconv"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
)

// cellSeparator separates the name of a model's first cell from the number of a further cell.
const cellSeparator = ":"

// FirstCell returns the name of the first cell of a model or service in a region. It is the only cell unless
// the model has many replicas.
func FirstCell(model, region string) string {
	return model + "/" + region
}

// CellNames returns the names of all cells of a model, given the name of the first cell and their number.
func CellNames(first string, count int) []string {
	names := make([]string, 0, max(1, count))
	names = append(names, first)
	for i := 1; i < count; i++ {
		names = append(names, first+cellSeparator+strconv.Itoa(i))
	}
	return names
}

// SplitCell splits the name of a cell into the first cell of the same model and the cell's number, which
// counts from 0.
func SplitCell(name string) (first string, number int) {
	at := strings.LastIndex(name, cellSeparator)
	if at < 0 {
		return name, 0
	}
	number, err := strconv.Atoi(name[at+len(cellSeparator):])
	if err != nil || number < 1 {
		return name, 0
	}
	return name[:at], number
}

// CellForEndpoint returns the cell of an endpoint, by rendezvous hashing of its name over the cells of its model.
// A cell that is added takes an equal share of the endpoints of each other cell, and no endpoint moves
// between the others.
func CellForEndpoint(first, endpoint string, count int) string {
	if count <= 1 {
		return first
	}
	return rendezvous.First(endpoint, CellNames(first, count))
}

// CandidateCells returns the cells of the request's model in the order in which to ask them. Prompts that
// begin with the same block have the same first candidate at all entries, without shared state, so that
// their prefix is cached in one cell. The other cells are ranked by a hash of the fingerprint, which
// differs between requests but is the same for copies of one request: the copies reach only two cells.
func CandidateCells(request ReserveRequest, count int) []string {
	first, _ := SplitCell(request.Cell)
	names := CellNames(first, count)
	if count <= 1 {
		return names
	}
	key := request.RequestID
	if request.Fingerprint != 0 {
		key = strconv.FormatUint(request.Fingerprint, 16)
	}
	ranked := rendezvous.Rank(key, names)
	if len(request.Blocks) > 0 {
		prefixCell := rendezvous.First(strconv.FormatUint(request.Blocks[0], 16), names)
		at := slices.Index(ranked, prefixCell)
		copy(ranked[1:at+1], ranked[:at])
		ranked[0] = prefixCell
	}
	return ranked
}
