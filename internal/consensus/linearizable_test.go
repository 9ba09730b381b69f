package consensus_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/dandelionpier/dandelionpier/internal/consensus"
	"github.com/dandelionpier/dandelionpier/internal/fault"
)

type registerInput struct {
	read           bool
	expected, next uint64
}

type registerOutput struct {
	value   uint64
	swapped bool
	unknown bool
}

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(uint64), input.(registerInput), output.(registerOutput)
		if in.read {
			return out.value == value, value
		}
		swaps := in.expected == 0 || in.expected == value
		if swaps {
			value = in.next
		}
		return out.unknown || out.swapped == swaps, value
	},
}

// history collects operations; its clock orders their starts and ends.
type history struct {
	mu         sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
}

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// runClient sends operations to the leader it knows until stop is closed.
func (c *cluster) runClient(h *history, id int, stop chan struct{}, random *rand.Rand) {
	target := c.servers[random.IntN(len(c.servers))].ID
	for value := uint64(1); ; value++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1+random.IntN(40)) * time.Millisecond):
		}
		c.network.mu.Lock()
		node, machine := c.network.nodes[target], c.machines[target]
		c.network.mu.Unlock()
		if node == nil {
			target = c.servers[random.IntN(len(c.servers))].ID
			continue
		}
		in := registerInput{read: random.IntN(2) == 0, next: uint64(id)<<32 | value}
		if random.IntN(2) == 0 {
			in.expected = machine.get()
		}
		o := porcupine.Operation{ClientId: id, Input: in, Call: h.clock.Add(1)}
		out, err := execute(node, machine, in)
		o.Output, o.Return = out, h.clock.Add(1)
		switch {
		case err == nil:
			h.add(o)
			continue
		case !in.read && fault.Is(err, consensus.OutcomeUnknown):
			// The outcome is unknown, so the command may take effect at any later time.
			o.Output, o.Return = registerOutput{unknown: true}, int64(1)<<62
			h.add(o)
		}
		var hint *consensus.LeaderHint
		if errors.As(err, &hint) && hint.ID != "" {
			target = hint.ID
			continue
		}
		target = c.servers[random.IntN(len(c.servers))].ID
	}
}

func execute(node *consensus.Node, machine *registerMachine, in registerInput) (registerOutput, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if in.read {
		err := node.Read(ctx)
		return registerOutput{value: machine.get()}, err
	}
	command := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, in.expected), in.next)
	value, err := node.Propose(ctx, command)
	if err != nil {
		return registerOutput{}, err
	}
	return registerOutput{swapped: value.(bool)}, nil
}

// Guards against a history of reads, writes and compare-and-set operations, under restarts and
// one-way and two-way partitions, that no single register could have produced.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.adjustConfig = func(config *consensus.Config) { config.SnapshotEvery = 50 }
				c.startAll()
				c.leader()
				h := &history{}
				stop := make(chan struct{})
				var clients sync.WaitGroup
				for id := range 4 {
					random := rand.New(rand.NewPCG(seed, uint64(id)))
					clients.Go(func() { c.runClient(h, id, stop, random) })
				}
				random := rand.New(rand.NewPCG(seed, 100))
				for range 12 {
					time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
					id := c.servers[random.IntN(3)].ID
					switch random.IntN(3) {
					case 0:
						if err := c.stop(id); err != nil {
							t.Error(err)
						}
						time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
						c.start(id)
					default:
						c.isolate(id, random.IntN(2) == 0, random.IntN(2) == 0)
						time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
						c.isolate(id, false, false)
					}
				}
				time.Sleep(2 * time.Second)
				close(stop)
				clients.Wait()
				c.stopAll()
				if len(h.operations) < 50 {
					t.Errorf("only %d operations had an outcome", len(h.operations))
				}
				if !porcupine.CheckOperations(registerModel, h.operations) {
					t.Errorf("the history of %d operations is not linearizable", len(h.operations))
				}
			})
		})
	}
}

// Guards against a stale read from a partitioned leader. The naive read takes the local value
// without a read barrier; its history must fail the check above.
func TestStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		old := c.leader()
		_, err := execute(c.node(old), c.machines[old], registerInput{next: 1})
		is.NoErr(err)
		c.isolate(old, true, true)
		next := c.leader(old)
		_, err = execute(c.node(next), c.machines[next], registerInput{next: 2})
		is.NoErr(err)
		_, err = execute(c.node(old), c.machines[old], registerInput{read: true})
		is.True(err != nil) // the read barrier fails
		naive := []porcupine.Operation{
			{Input: registerInput{next: 1}, Output: registerOutput{swapped: true}, Call: 1, Return: 2},
			{Input: registerInput{next: 2}, Output: registerOutput{swapped: true}, Call: 3, Return: 4},
			{Input: registerInput{read: true}, Output: registerOutput{value: c.machines[old].get()}, Call: 5, Return: 6},
		}
		is.True(!porcupine.CheckOperations(registerModel, naive))
		c.isolate(old, false, false)
	})
}
