package consensus

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionpier/dandelionpier/internal/fault"
	"github.com/dandelionpier/dandelionpier/internal/journal"
)

const (
	// catchUpTime is the time after which an instance that is back counts as one that may be relied on.
	catchUpTime = 4 * time.Second
	// recoveryTime is the time after the last fault within which the instances must elect a leader.
	recoveryTime = 12 * time.Second
	// joinInterval is the time between two attempts of an instance to join.
	joinInterval = 200 * time.Millisecond
	// wantedVoters is the setting voters of deploy/control.yaml, whatever number of disks may be lost at a time.
	wantedVoters = 5
	// maxInstances bounds the instances of a deployment at one time.
	maxInstances = 9
)

// instance is a machine with a disk, which joins and leaves the quorum as the daemon does.
type instance struct {
	address string
	// node is the id of the node that uses its disk.
	node string
	// down is set while the instance does not run.
	down bool
	// lostUntil is the time until which its disk counts as lost.
	lostUntil time.Duration
}

// deployment is a simulation of instances that replace each other. As many disks are lost at a time as
// tolerance allows; everything else may fail at any time.
type deployment struct {
	*simulation
	tolerance int
	instances []*instance
	// gone holds the instances that never return.
	gone []*instance
	// addresses is the number of addresses used so far, identities that of ids.
	addresses, identities int
	events                []event
	nextJoins             time.Duration
	// disturbedUntil is the end of the faults in progress that lose no disk.
	disturbedUntil time.Duration
}

// event is the end of a fault.
type event struct {
	at  time.Duration
	run func()
}

func newDeployment(seed uint64, tolerance, standbys int) *deployment {
	voters := 2*tolerance + 1
	seeds := min(voters, 3)
	d := &deployment{simulation: newSimulation(seed, seeds, 0), tolerance: tolerance}
	d.setTargetVoters(wantedVoters)
	d.setReplaceAfter(1500 * time.Millisecond)
	for _, server := range d.servers {
		d.instances = append(d.instances, &instance{address: server.Address, node: server.ID})
	}
	d.addresses = len(d.servers)
	for range voters - seeds + standbys {
		d.add()
	}
	d.run(10 * time.Second)
	return d
}

// add starts an empty instance at a new address.
func (d *deployment) add() *instance {
	i := &instance{address: string(rune('a' + d.addresses))}
	d.addresses++
	d.instances = append(d.instances, i)
	d.startEmpty(i)
	return i
}

// startEmpty starts an instance without files, under a new id.
func (d *deployment) startEmpty(i *instance) {
	d.identities++
	i.node, i.down = fmt.Sprint(i.address, "/", d.identities), false
	d.startAt(i.node, i.address)
}

func (d *deployment) startWithFiles(i *instance) {
	i.down = false
	d.startAt(i.node, i.address)
}

func (d *deployment) stop(i *instance) {
	i.down = true
	d.crash(i.node)
}

// after runs f once d.now has advanced by delay.
func (d *deployment) after(delay time.Duration, f func()) {
	d.events = append(d.events, event{d.now + delay, f})
}

// run advances the time, ends faults, and does what the daemons of the instances do.
func (d *deployment) run(length time.Duration) {
	for end := d.now + length; d.now < end; {
		d.advance(20 * time.Millisecond)
		due := slices.Clone(d.events)
		d.events = slices.DeleteFunc(d.events, func(e event) bool { return e.at <= d.now })
		for _, e := range due {
			if e.at <= d.now {
				e.run()
			}
		}
		if d.now >= d.nextJoins {
			d.nextJoins = d.now + joinInterval
			d.keepMemberships()
		}
	}
}

// keepMemberships does what formation.Join and the restart of a removed instance do.
func (d *deployment) keepMemberships() {
	for _, i := range d.instances {
		n := d.nodes[i.node]
		switch {
		case i.down || n.frozen:
		case !n.up:
			d.startEmpty(i) // The node has learnt that it was removed.
		case !d.hearsLeader(n):
			d.askToJoin(i)
		}
	}
}

// hearsLeader reports whether a node is a member, as far as it knows, and hears from a leader.
func (d *deployment) hearsLeader(n *simulatedNode) bool {
	_, member := n.core.membership().find(n.id)
	silence := d.clock(n) - n.core.lastLeaderContact
	return member && (n.core.role == Leader || n.core.leaderID != "" && silence < time.Second)
}

// askToJoin asks every node that believes it leads and can be reached.
func (d *deployment) askToJoin(i *instance) {
	hasLog := d.nodes[i.node].core.log.lastIndex() > 0
	for _, id := range slices.Clone(d.order) {
		l := d.nodes[id]
		if !l.up || l.frozen || l.core.role != Leader || d.cutLinks[[2]string{i.node, id}] || d.cutLinks[[2]string{id, i.node}] {
			continue
		}
		l.core.tick(d.clock(l))
		_, err := l.core.joinMember(Server{ID: i.node, Address: i.address}, hasLog)
		d.processOutput(l)
		if fault.Is(err, Removed) {
			d.crash(i.node)
			d.startEmpty(i)
			return
		}
	}
}

// lostDisks returns the number of disks that count as lost.
func (d *deployment) lostDisks() int {
	n := 0
	for _, i := range slices.Concat(d.instances, d.gone) {
		if d.now < i.lostUntil {
			n++
		}
	}
	return n
}

// disturb postpones the end of the losses in progress, because nothing can be replaced while the instances are
// disturbed.
func (d *deployment) disturb(length time.Duration) {
	d.disturbedUntil = max(d.disturbedUntil, d.now+length)
	for _, i := range slices.Concat(d.instances, d.gone) {
		if d.now < i.lostUntil {
			i.lostUntil = max(i.lostUntil, d.now+length+catchUpTime)
		}
	}
}

// caughtUpAt returns when an instance that is back after delay, without files, may be relied on.
func (d *deployment) caughtUpAt(delay time.Duration) time.Duration {
	return max(d.now+delay, d.disturbedUntil) + catchUpTime
}

// wipeDisk ends an instance; it returns without its files after delay.
func (d *deployment) wipeDisk(i *instance, delay time.Duration) {
	d.stop(i)
	d.nodes[i.node].disk = journal.Contents{}
	i.lostUntil = d.caughtUpAt(delay)
	d.after(delay, func() { d.startEmpty(i) })
}

// restart ends an instance; it returns with its files after delay.
func (d *deployment) restart(i *instance, delay time.Duration) {
	d.stop(i)
	d.disturb(delay)
	d.after(delay, func() { d.startWithFiles(i) })
}

// retire ends an instance for good.
func (d *deployment) retire(i *instance) {
	d.stop(i)
	d.gone = append(d.gone, i)
	d.instances = slices.DeleteFunc(d.instances, func(o *instance) bool { return o == i })
}

// darken ends all instances at once; some lose their disks. The others return after delay.
func (d *deployment) darken(delay time.Duration, wiped int, choose func(int) int) {
	d.disturb(delay)
	running := d.running()
	for range min(wiped, len(running)) {
		k := choose(len(running))
		d.wipeDisk(running[k], delay)
		running = slices.Delete(running, k, k+1)
	}
	for _, i := range running {
		d.restart(i, delay)
	}
}

func (d *deployment) running() []*instance {
	return slices.DeleteFunc(slices.Clone(d.instances), func(i *instance) bool { return i.down })
}

// strike performs one random action: a fault, a planned change or a command.
func (d *deployment) strike(choose func(int) int) {
	running := d.running()
	if len(running) == 0 {
		d.run(time.Second)
		return
	}
	i := running[choose(len(running))]
	delay := time.Duration(choose(30)) * 100 * time.Millisecond
	mayLose := d.lostDisks() < d.tolerance
	switch choose(12) {
	case 0:
		if mayLose && len(d.instances) < maxInstances {
			successor := d.add()
			successor.lostUntil = d.caughtUpAt(0)
			d.after(successor.lostUntil-d.now, func() { d.stopForGood(i) })
		}
	case 1:
		if mayLose {
			d.retire(i)
			i.lostUntil = math.MaxInt64
			d.after(delay, func() {
				successor := d.add()
				successor.lostUntil = d.caughtUpAt(0)
				i.lostUntil = successor.lostUntil
			})
		}
	case 2:
		if mayLose {
			d.wipeDisk(i, delay)
		}
	case 3:
		d.prepareStopOf(i)
		d.restart(i, delay)
	case 4:
		d.restart(i, delay)
	case 5:
		d.disturb(delay)
		d.partition([]string{i.node}, choose(2) == 0, choose(2) == 0)
		d.after(delay, d.heal)
	case 6:
		d.darken(delay, choose(d.tolerance-min(d.tolerance, d.lostDisks())+1), choose)
	case 7:
		if len(d.instances) < maxInstances {
			d.add()
		}
	case 8:
		d.disturb(delay)
		node := d.nodes[i.node]
		node.frozen = true
		d.after(delay, func() { node.frozen = false })
	default:
		for k := range 1 + choose(8) {
			if l := d.leader(); l != nil {
				d.propose(l, fmt.Sprint(d.now, k))
			}
		}
	}
	d.run(time.Duration(choose(40)) * 50 * time.Millisecond)
}

// prepareStopOf does what an instance does before a planned stop.
func (d *deployment) prepareStopOf(i *instance) {
	if l := d.leader(); l != nil && l.id == i.node {
		d.transferLeadership(l)
	}
	for range 100 {
		if d.release(i.node) {
			break
		}
		d.advance(20 * time.Millisecond)
	}
}

// stopForGood stops an instance by plan, unless it has failed meanwhile.
func (d *deployment) stopForGood(i *instance) {
	if i.down {
		return
	}
	d.prepareStopOf(i)
	d.retire(i)
}

// settle ends all faults and checks that the instances elect a leader and bear further losses in time.
func (d *deployment) settle() {
	for len(d.events) > 0 {
		d.run(100 * time.Millisecond)
	}
	deadline := d.now + recoveryTime
	for d.now < deadline && d.violation == "" {
		d.run(100 * time.Millisecond)
		if l := d.leader(); l != nil && l.core.log.commitIndex >= l.core.termStartIndex && d.healthy(l) {
			d.propose(l, "end")
			d.run(time.Second)
			if l.core.log.commitIndex == l.core.log.lastIndex() {
				return
			}
		}
	}
	l := d.leader()
	if l == nil {
		d.fail("no leader within %v", recoveryTime)
		return
	}
	d.fail("after %v the members are %v", recoveryTime, l.core.membership().describe())
}

// healthy reports whether the quorum bears as many losses as it must, or as the number of instances allows.
func (d *deployment) healthy(l *simulatedNode) bool {
	voters := d.votersOf(l.core.membership())
	live := 0
	for _, id := range voters {
		if d.nodes[id].up {
			live++
		}
	}
	return live-quorum(len(voters)) >= min(d.tolerance, (len(d.instances)-1)/2)
}

// Guards against a quorum that is lost although no more disks were lost at a time than it must bear, whatever
// else fails, and against a place in it that is never filled again or stays with an instance that is gone.
func TestQuorumLostWithinTolerance(t *testing.T) {
	for name, test := range map[string]struct{ tolerance, standbys int }{
		"3 voters": {1, 0}, "3 voters, standby": {1, 1}, "5 voters": {2, 0}, "5 voters, standby": {2, 1}, "5 voters, 3 standbys": {2, 3},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				d := newDeployment(rapid.Uint64().Draw(t, "seed"), test.tolerance, test.standbys)
				choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
				for range 2 {
					for range 10 {
						d.strike(choose)
					}
					d.settle()
				}
				if d.violation != "" {
					t.Fatal(d.violation)
				}
			})
		})
	}
}
