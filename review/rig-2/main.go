// Command rig-2 plays the cases of the second review: it starts the programs of the deploy file as processes on loopback
// addresses, with stand-ins for replicas, requesters and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the time after which a case that has not ended could not run.
const timeLimit = 110 * time.Second

// Exit codes of a case.
const (
	held = iota
	broken
	failed
)

// play is a running case.
type play struct {
	*system
	record *record
	// trouble is false if the case is played without its disruption.
	trouble bool
}

// cases returns an error if a case could not run, and whether the rule was broken.
var cases = map[string]struct {
	zones []string
	// withoutDisk is the number of machines without a disk in each zone.
	withoutDisk int
	run         func(*play) (bool, error)
}{
	"late-withdrawal":  {[]string{"atl-a", "atl-b", "atl-c"}, 0, lateWithdrawal},
	"late-departure":   {[]string{"mcallen", "mission", "harlingen"}, 0, lateDeparture},
	"earlier-start":    {[]string{"mcallen", "mission", "harlingen"}, 0, earlierStart},
	"spaced-event-ids": {[]string{"mcallen", "mission", "harlingen"}, 0, spacedEventIDs},
	"deadly-later":     {[]string{"mcallen", "mission", "harlingen"}, 0, deadlyAfterFirstEvent},
	"cold-unknown":     {[]string{"atl-a", "atl-b", "atl-c"}, 2, coldUnknown},
	"joint-crash":      {[]string{"mcallen", "mission", "harlingen"}, 0, jointCrash},
	"full-replica":     {[]string{"mcallen", "mission", "harlingen"}, 0, fullReplica},
	"late-reading":     {[]string{"mcallen", "mission", "harlingen"}, 0, lateReading},
	"early-answer":     {[]string{"mcallen", "mission", "harlingen"}, 0, earlyAnswer},
}

// play runs a case until it ends, its time is over or the process is told to stop.
func (p *play) play(run func(*play) (bool, error)) (bool, error) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var isBroken bool
	var err error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		isBroken, err = run(p)
	}()
	select {
	case <-ended:
		return isBroken, err
	case <-stopped:
		return false, fmt.Errorf("stopped")
	case <-time.After(timeLimit):
		return false, fmt.Errorf("not ended after %v", timeLimit)
	}
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE REPOSITORY RECORD")
		return failed
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return failed
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer out.Close()
	p := &play{record: &record{started: time.Now(), out: out}, trouble: os.Getenv("TROUBLE") != "0"}
	p.record.printf("case %s, with the disruption: %t", os.Args[1], p.trouble)
	if p.system, err = newSystem(os.Args[2], c.zones, c.withoutDisk, p.record); err != nil {
		p.record.printf("could not run: %v", err)
		return failed
	}
	defer p.stop()
	isBroken, err := p.play(c.run)
	switch {
	case err != nil:
		p.record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case isBroken:
		p.record.printf("the rule was broken")
		return broken
	}
	p.record.printf("the rule held")
	return held
}
