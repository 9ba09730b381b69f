package language_test

import (
	"fmt"

	"github.com/dandelionpier/dandelionpier/internal/configuration"
	"github.com/dandelionpier/dandelionpier/internal/language"
)

func ExampleParse() {
	text, err := language.Parse("show   waiting where waited > 2s # now")
	fmt.Println(text, err)
	_, err = language.Parse("show wating")
	fmt.Println(err)
	// Output:
	// show waiting where waited > 2s
	//  <nil>
	// parse: 1:6: unknown subject "wating"; did you mean "waiting"?
}

func ExampleChanges() {
	base := configuration.Configuration{Models: map[string]configuration.Model{"oak": {Name: "oak", Version: "1", Replicas: 2}}}
	text, _ := language.Parse("set model oak version 2")
	changes, _ := language.Changes(*text.Transaction, base)
	for _, line := range language.Diff(base, changes) {
		fmt.Println(line)
	}
	// Output:
	// - set model oak version 1 adapters none replicas 2 prompt-price 0 cached-price 0 output-price 0 max-context 0
	// + set model oak version 2 adapters none replicas 2 prompt-price 0 cached-price 0 output-price 0 max-context 0
}
