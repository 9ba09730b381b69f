package claim_test

import "flag"

// The seed is fixed so that every run gives the same result.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
