package dispatch

import (
	"slices"
	"strconv"
	"strings"

	"github.com/dandelionpier/dandelionpier/internal/rendezvous"
)

// cellSeparator stands between the name of a model's first cell and the number of a further one.
const cellSeparator = ":"

// Cell returns the name of the first cell of a model or service in a region, which is its only one
// unless the model has many replicas.
func Cell(model, region string) string {
	return model + "/" + region
}

// Cells names the count cells of a model, of which first is the first.
func Cells(first string, count int) []string {
	names := make([]string, 0, max(1, count))
	names = append(names, first)
	for i := 1; i < count; i++ {
		names = append(names, first+cellSeparator+strconv.Itoa(i))
	}
	return names
}

// SplitCell returns the first cell of the cell's model and the number of the cell, from 0.
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

// CellOf returns the cell of an endpoint by rendezvous hashing of its name over the count cells of its
// model: one more cell takes an equal share of the endpoints of each of the others and moves no more.
func CellOf(first, endpoint string, count int) string {
	if count <= 1 {
		return first
	}
	return rendezvous.First(endpoint, Cells(first, count))
}

// Candidates returns the count cells of the request's model in the order in which to ask them. Prompts
// that begin with the same block have the same first candidate, at all entries and without any state, so
// that their prefix is cached in one cell. The others follow by the hash of the fingerprint, which is
// random between requests and the same for copies of one request: copies then reach two cells only.
func Candidates(request ReserveRequest, count int) []string {
	first, _ := SplitCell(request.Cell)
	names := Cells(first, count)
	if count <= 1 {
		return names
	}
	key := request.RequestID
	if request.Fingerprint != 0 {
		key = strconv.FormatUint(request.Fingerprint, 16)
	}
	ranked := rendezvous.Rank(key, names)
	if len(request.Blocks) > 0 {
		home := rendezvous.First(strconv.FormatUint(request.Blocks[0], 16), names)
		at := slices.Index(ranked, home)
		copy(ranked[1:at+1], ranked[:at])
		ranked[0] = home
	}
	return ranked
}
