package fault_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/fault"
)

type kind string

// Guards against losing the kind when an error is wrapped again.
func TestIs(t *testing.T) {
	base := fault.New("open file", kind("missing"), "file %q does not exist", "a")
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"the error itself": {base, true},
		"wrapped":          {fmt.Errorf("start: %w", base), true},
		"other error":      {errors.New("open file"), false},
		"other kind":       {fault.New("open file", kind("denied"), "no"), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fault.Is(test.err, kind("missing")), test.want)
		})
	}
}

func ExampleError() {
	type Kind string
	err := fault.New("apply change", Kind("unknown"), "model %q does not exist", "oak")
	fmt.Println(err)
	// Output: apply change: model "oak" does not exist
}
