package cli

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a response that names no leader although its operator address is known, or the wrong
// instance.
func TestOperatorAddress(t *testing.T) {
	s := Settings{Bootstrap: []Voter{
		{Instance: "control-1", Address: "10.0.1.11:7100", Operator: "10.0.1.11:7120"},
		{Instance: "control-2", Address: "10.0.2.11:7100"},
	}}
	for peer, want := range map[string]string{
		"10.0.1.11:7100": "10.0.1.11:7120", "10.0.2.11:7100": "", "10.0.9.11:7100": "", "": "",
	} {
		is.New(t).Equal(s.operatorAddress(peer), want)
	}
}
