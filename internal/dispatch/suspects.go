package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

const (
	// quarantineDeaths is the number of deaths with one sole suspect that quarantine it.
	quarantineDeaths = 2
	// quarantineTime is how long a quarantined request is refused.
	quarantineDuration = 10 * time.Minute
	// suspicionTime is how long a request stays a suspect without another death.
	suspicionDuration = 10 * time.Minute
	// refuteAfter is the time after a lost connection from which an announcement of the same life shows
	// that the endpoint lives; one sent before the loss arrives within it.
	aliveAfterLoss = 3 * endpoint.AnnounceInterval / 2
	// maxProven bounds each of the two generations of fingerprints that are known to finish.
	maxKnownGood = 4096
)

// suspects tracks by fingerprint which requests may crash endpoints. A fingerprint of 0 is unknown and
// never a suspect.
type suspects struct {
	byFingerprint map[uint64]*suspect
	// losses has the lost connections, by endpoint, that are not yet known to be deaths.
	losses map[string]*connectionLoss
	// running has the live grants of each fingerprint.
	running     map[uint64][]*grant
	quarantined map[uint64]time.Time
	// proven has fingerprints that have finished lately, older those of the generation before.
	knownGood, olderKnownGood map[uint64]struct{}
}

// suspect is a request that was in flight when an endpoint died, or lost its connection.
type suspect struct {
	deaths []*death
	// losses counts the lost connections that are not yet known to be deaths.
	losses        int
	lastSuspected time.Time
}

// death is the confirmed death of one life of an endpoint.
type death struct {
	fingerprints []uint64
}

// loss is one or more connections lost to one life of an endpoint.
type connectionLoss struct {
	lastLoss     time.Time
	fingerprints []uint64
}

func newSuspects() suspects {
	return suspects{
		byFingerprint:  make(map[uint64]*suspect),
		losses:         make(map[string]*connectionLoss),
		running:        make(map[uint64][]*grant),
		quarantined:    make(map[uint64]time.Time),
		knownGood:      make(map[uint64]struct{}),
		olderKnownGood: make(map[uint64]struct{}),
	}
}

func (s *suspects) grantStarted(g *grant) {
	if g.fingerprint != 0 {
		s.running[g.fingerprint] = append(s.running[g.fingerprint], g)
	}
}

func (s *suspects) grantEnded(g *grant) {
	rest := slices.DeleteFunc(s.running[g.fingerprint], func(other *grant) bool { return other == g })
	if len(rest) == 0 {
		delete(s.running, g.fingerprint)
		return
	}
	s.running[g.fingerprint] = rest
}

// proved records that a request finished, which clears it of suspicion.
func (s *suspects) markKnownGood(_ time.Time, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	delete(s.byFingerprint, fingerprint)
	for _, l := range s.losses {
		l.fingerprints = slices.DeleteFunc(l.fingerprints, func(f uint64) bool { return f == fingerprint })
	}
	s.knownGood[fingerprint] = struct{}{}
	if len(s.knownGood) > maxKnownGood {
		s.olderKnownGood, s.knownGood = s.knownGood, make(map[uint64]struct{})
	}
}

func (s *suspects) isKnownGood(fingerprint uint64) bool {
	if _, ok := s.knownGood[fingerprint]; ok {
		return true
	}
	_, ok := s.olderKnownGood[fingerprint]
	return ok
}

// suspect returns the record of a fingerprint, new if needed; a suspect is no longer proven.
func (s *suspects) ensureSuspect(now time.Time, fingerprint uint64) *suspect {
	delete(s.knownGood, fingerprint)
	delete(s.olderKnownGood, fingerprint)
	record := s.byFingerprint[fingerprint]
	if record == nil {
		record = &suspect{}
		s.byFingerprint[fingerprint] = record
	}
	record.lastSuspected = now
	return record
}

// lost records a lost connection, which may turn out to be a death.
func (s *suspects) recordLoss(now time.Time, name string, fingerprint uint64) {
	l := s.losses[name]
	if l == nil {
		l = &connectionLoss{}
		s.losses[name] = l
	}
	l.lastLoss = now
	if fingerprint == 0 || slices.Contains(l.fingerprints, fingerprint) {
		return
	}
	l.fingerprints = append(l.fingerprints, fingerprint)
	s.ensureSuspect(now, fingerprint).losses++
}

// announced refutes the losses of an endpoint once it has announced the same life long enough after
// the last of them, and reports whether it did.
func (s *suspects) refuteLosses(now time.Time, name string) (refuted bool) {
	l := s.losses[name]
	if l == nil || now.Sub(l.lastLoss) < aliveAfterLoss {
		return false
	}
	s.removeLosses(name)
	return true
}

// settle removes the losses of an endpoint and returns their fingerprints.
func (s *suspects) removeLosses(name string) []uint64 {
	l := s.losses[name]
	if l == nil {
		return nil
	}
	delete(s.losses, name)
	for _, fingerprint := range l.fingerprints {
		record := s.byFingerprint[fingerprint]
		if record == nil {
			continue
		}
		record.losses--
		if record.losses == 0 && len(record.deaths) == 0 {
			delete(s.byFingerprint, fingerprint)
		}
	}
	return l.fingerprints
}

// death records the death of an endpoint while the given fingerprints ran, and returns those to
// quarantine: the only one that was a suspect before, once it has been in enough deaths. A fingerprint
// whose only suspicion is the loss of connection to this endpoint was not a suspect before.
func (s *suspects) recordDeath(now time.Time, name string, running []uint64) []uint64 {
	all := append(slices.Clone(s.removeLosses(name)), running...)
	slices.Sort(all)
	all = slices.DeleteFunc(slices.Compact(all), func(f uint64) bool { return f == 0 })
	var before []uint64
	for _, fingerprint := range all {
		if s.byFingerprint[fingerprint] != nil {
			before = append(before, fingerprint)
		}
	}
	d := &death{fingerprints: all}
	for _, fingerprint := range all {
		record := s.ensureSuspect(now, fingerprint)
		record.deaths = append(record.deaths, d)
	}
	if len(before) != 1 || len(s.byFingerprint[before[0]].deaths) < quarantineDeaths {
		return nil
	}
	return before
}

// clear forgets the deaths that a quarantined request explains; those that only ran beside it are
// free of suspicion.
func (s *suspects) clearDeathsOf(culprit uint64) {
	delete(s.byFingerprint, culprit)
	for fingerprint, record := range s.byFingerprint {
		record.deaths = slices.DeleteFunc(record.deaths, func(d *death) bool {
			return slices.Contains(d.fingerprints, culprit)
		})
		if len(record.deaths) == 0 && record.losses == 0 {
			delete(s.byFingerprint, fingerprint)
		}
	}
}

func (s *suspects) expire(now time.Time) {
	for fingerprint, until := range s.quarantined {
		if now.After(until) {
			delete(s.quarantined, fingerprint)
		}
	}
	for fingerprint, record := range s.byFingerprint {
		if now.Sub(record.lastSuspected) > suspicionDuration && record.losses == 0 {
			delete(s.byFingerprint, fingerprint)
		}
	}
}

// mustWait says that a fingerprint may not run until its lost connections are known to be deaths or
// not: with one more it could exceed the deaths that quarantine it.
func (s *suspects) mustWait(fingerprint uint64) bool {
	record := s.byFingerprint[fingerprint]
	return record != nil && record.losses > 0 && record.losses+len(record.deaths) >= quarantineDeaths
}

// placement is where a fingerprint may run.
type placementRule struct {
	suspects *suspects
	// own is the fingerprint, only the replicas that it is confined to; nil means any.
	fingerprint uint64
	isSuspect   bool
	confinedTo  []*replica
}

// placement returns where a fingerprint may run among the given number of usable replicas. A request
// that has never finished runs on one replica at a time, so that copies of it sent through several
// entries cannot kill several replicas before the first death is known; one that has finished may use
// all but one. A request that has been in two deaths does not run on the last usable replica.
func (s *suspects) placementRule(fingerprint uint64, usable int) placementRule {
	p := placementRule{suspects: s, fingerprint: fingerprint, isSuspect: s.byFingerprint[fingerprint] != nil}
	running := s.running[fingerprint]
	if record := s.byFingerprint[fingerprint]; record != nil && usable <= 1 &&
		record.losses+len(record.deaths) >= quarantineDeaths {
		p.confinedTo = []*replica{}
		return p
	}
	if len(running) == 0 {
		return p
	}
	limit := 1
	if s.isKnownGood(fingerprint) {
		limit = max(1, usable-1)
	}
	var used []*replica
	for _, g := range running {
		for _, part := range g.parts {
			if !slices.Contains(used, part.replica) {
				used = append(used, part.replica)
			}
		}
	}
	if len(used) >= limit {
		p.confinedTo = used
	}
	return p
}

// allows says whether the fingerprint may run at a replica: a suspect only where no other one runs.
func (p *placementRule) allows(r *replica) bool {
	if p.confinedTo != nil && !slices.Contains(p.confinedTo, r) {
		return false
	}
	if !p.isSuspect {
		return true
	}
	for _, part := range r.parts {
		f := part.grant.fingerprint
		if f != p.fingerprint && p.suspects.byFingerprint[f] != nil {
			return false
		}
	}
	return true
}

// connectionLost takes a Died event: a failure of the endpoint, and a death only once its silence or a
// new incarnation confirms it.
func (c *cell) connectionLost(now time.Time, g *grant) {
	head := g.parts[0].replica
	head.breaker.failed(now, g.ID, c.settings, c.config.Jitter())
	c.endGrant(now, g, nil)
	if head.announced {
		head.connectionLostAt = now
		c.suspects.recordLoss(now, head.name, g.fingerprint)
		// What else runs there is under suspicion at once: its entries may report the loss later than
		// they ask for another endpoint.
		lost := []uint64{g.fingerprint}
		for _, p := range head.parts {
			c.suspects.recordLoss(now, head.name, p.grant.fingerprint)
			lost = append(lost, p.grant.fingerprint)
		}
		c.shareWithCells(ShareRequest{Type: ShareLoss, Endpoint: head.name, Fingerprints: lost})
	}
	c.updateEjections(now)
}

func (c *cell) quarantined(now time.Time, fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	until, found := c.suspects.quarantined[fingerprint]
	return (found && now.Before(until)) || c.config.Quarantined(fingerprint)
}

// quarantine refuses a request everywhere and ends its copies that run.
func (c *cell) quarantine(now time.Time, fingerprint uint64) {
	c.config.Logger.Warn("Request quarantined after deaths of endpoints",
		zap.String("cell", c.name), zap.Uint64("fingerprint", fingerprint))
	c.suspects.quarantined[fingerprint] = now.Add(quarantineDuration)
	c.suspects.clearDeathsOf(fingerprint)
	for _, g := range slices.Clone(c.suspects.running[fingerprint]) {
		c.cancelGrant(now, g)
	}
	c.pendingCalls = append(c.pendingCalls, quarantineCall{fingerprint: fingerprint})
}
