package consensus_test

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

func ExampleNode() {
	directory, err := os.MkdirTemp("", "consensus")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	node, err := consensus.New(consensus.Config{
		ID: "a", Directory: directory, Bootstrap: []consensus.Server{{ID: "a"}},
		StateMachine: &machine{}, Transport: consensus.NewPeerTransport(nil),
		Timing: consensus.Timing{ElectionMin: 10 * time.Millisecond},
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	sum, err := node.Propose(ctx, add(2))
	// A program with several nodes would go to the address in LeaderHint and wait between attempts.
	for fault.Is(err, consensus.NotLeader) {
		sum, err = node.Propose(ctx, add(2))
	}
	fmt.Println(sum, err)
	cancel()
	fmt.Println(<-ended)
	// Output:
	// 2 <nil>
	// <nil>
}
