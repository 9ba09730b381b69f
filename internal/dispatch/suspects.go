package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dandelionpier/dandelionpier/internal/endpoint"
)

const (
	// quarantineDeaths is the number of deaths of endpoints after which a request is quarantined, if it is
	// the only one that was already a suspect.
	quarantineDeaths = 2
	// quarantineDuration is how long a quarantined request is refused.
	quarantineDuration = 10 * time.Minute
	// suspicionDuration is how long a request stays a suspect without another death.
	suspicionDuration = 10 * time.Minute
	// aliveAfterLoss is the time after a lost connection from which an announcement of the same
	// incarnation proves that the endpoint is alive. Announcements sent before the loss arrive earlier.
	aliveAfterLoss = 3 * endpoint.AnnounceInterval / 2
	// maxKnownGood limits each of the two generations of fingerprints that are known to finish.
	maxKnownGood = 4096
)

// suspects tracks, by fingerprint, which requests may crash endpoints. A fingerprint of 0 is unknown and
// never a suspect.
type suspects struct {
	byFingerprint map[uint64]*suspect
	// losses has the lost connections by endpoint, until it is known whether the endpoint died.
	losses map[string]*connectionLoss
	// running has the live grants of each fingerprint.
	running     map[uint64][]*grant
	quarantined map[uint64]time.Time
	// knownGood has fingerprints that have finished recently, olderKnownGood those of the previous
	// generation.
	knownGood, olderKnownGood map[uint64]struct{}
}

// suspect is a request that was in flight when an endpoint died or a connection to it was lost.
type suspect struct {
	deaths []*death
	// losses counts the lost connections for which it is not yet known whether the endpoint died.
	losses        int
	lastSuspected time.Time
}

// death is the confirmed death of one incarnation of an endpoint. It has the fingerprints of the requests
// that were in flight.
type death struct {
	fingerprints []uint64
}

// connectionLoss has the connections lost to one incarnation of an endpoint.
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

// markKnownGood records that a request finished, which clears it of suspicion.
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

// ensureSuspect returns the record of a fingerprint, creating it if needed. A suspect is no longer known
// good.
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

// recordLoss records a lost connection. It is not yet known whether the endpoint died.
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

// refuteLosses removes the losses of an endpoint that has announced the same incarnation long enough after
// the last of them, and reports whether it did.
func (s *suspects) refuteLosses(now time.Time, name string) (refuted bool) {
	l := s.losses[name]
	if l == nil || now.Sub(l.lastLoss) < aliveAfterLoss {
		return false
	}
	s.removeLosses(name)
	return true
}

// removeLosses removes the losses of an endpoint and returns their fingerprints.
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

// recordDeath records the death of an endpoint while the given fingerprints ran, and returns those to
// quarantine: the only one that was a suspect before, if it has been involved in quarantineDeaths deaths.
// A fingerprint whose only suspicion is the lost connection to this endpoint was not a suspect before.
func (s *suspects) recordDeath(now time.Time, name string, running []uint64) []uint64 {
	involved := append(slices.Clone(s.removeLosses(name)), running...)
	slices.Sort(involved)
	involved = slices.DeleteFunc(slices.Compact(involved), func(f uint64) bool { return f == 0 })
	var priorSuspects []uint64
	for _, fingerprint := range involved {
		if s.byFingerprint[fingerprint] != nil {
			priorSuspects = append(priorSuspects, fingerprint)
		}
	}
	d := &death{fingerprints: involved}
	for _, fingerprint := range involved {
		record := s.ensureSuspect(now, fingerprint)
		record.deaths = append(record.deaths, d)
	}
	if len(priorSuspects) != 1 || len(s.byFingerprint[priorSuspects[0]].deaths) < quarantineDeaths {
		return nil
	}
	return priorSuspects
}

// clearDeathsOf removes the deaths that a quarantined request explains, which clears the requests that
// only ran beside it.
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

// mustWait reports whether a fingerprint may not run until it is known whether the endpoints to which it
// lost connections died: another run could cause more deaths than quarantineDeaths.
func (s *suspects) mustWait(fingerprint uint64) bool {
	record := s.byFingerprint[fingerprint]
	return record != nil && record.losses > 0 && record.losses+len(record.deaths) >= quarantineDeaths
}

// placementRule restricts the replicas on which a fingerprint may run.
type placementRule struct {
	suspects    *suspects
	fingerprint uint64
	isSuspect   bool
	// confinedTo has the replicas on which the fingerprint may run; nil means all.
	confinedTo []*replica
}

// placementRule returns where a fingerprint may run, given the number of usable replicas. A request that
// has not finished before runs on one replica at a time, so that copies of it sent through several
// entries cannot crash several replicas before the first death is known. One that has finished before may
// use all replicas but one. A request involved in quarantineDeaths deaths or lost connections does not run
// on the last usable replica.
func (s *suspects) placementRule(fingerprint uint64, usable int) placementRule {
	rule := placementRule{suspects: s, fingerprint: fingerprint, isSuspect: s.byFingerprint[fingerprint] != nil}
	running := s.running[fingerprint]
	if record := s.byFingerprint[fingerprint]; record != nil && usable <= 1 &&
		record.losses+len(record.deaths) >= quarantineDeaths {
		rule.confinedTo = []*replica{}
		return rule
	}
	if len(running) == 0 {
		return rule
	}
	maxReplicas := 1
	if s.isKnownGood(fingerprint) {
		maxReplicas = max(1, usable-1)
	}
	var used []*replica
	for _, g := range running {
		for _, part := range g.parts {
			if !slices.Contains(used, part.replica) {
				used = append(used, part.replica)
			}
		}
	}
	if len(used) >= maxReplicas {
		rule.confinedTo = used
	}
	return rule
}

// allows reports whether the fingerprint may run at a replica. A suspect may run only where no other
// suspect runs.
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

// connectionLost applies a ConnectionLost event. It counts as a failure of the endpoint at once, but as a
// death only when silence of the endpoint or a new incarnation confirms it.
func (c *cell) connectionLost(now time.Time, g *grant) {
	head := g.parts[0].replica
	head.breaker.failed(now, g.ID, c.settings, c.config.Jitter())
	c.endGrant(now, g, nil)
	if head.announced {
		head.connectionLostAt = now
		c.suspects.recordLoss(now, head.name, g.fingerprint)
		// All other requests there become suspects at once: their entries may report the loss only after
		// they have asked for another endpoint.
		lost := []uint64{g.fingerprint}
		for _, p := range head.parts {
			c.suspects.recordLoss(now, head.name, p.grant.fingerprint)
			lost = append(lost, p.grant.fingerprint)
		}
		c.shareWithCells(ShareRequest{Type: ShareConnectionLost, Endpoint: head.name, Fingerprints: lost})
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

// quarantine quarantines a request everywhere and cancels its running copies.
func (c *cell) quarantine(now time.Time, fingerprint uint64) {
	c.config.Logger.Warn("Quarantined a request after endpoints died while they ran it",
		zap.String("cell", c.name), zap.Uint64("fingerprint", fingerprint))
	c.suspects.quarantined[fingerprint] = now.Add(quarantineDuration)
	c.suspects.clearDeathsOf(fingerprint)
	for _, g := range slices.Clone(c.suspects.running[fingerprint]) {
		c.cancelGrant(now, g)
	}
	c.pendingCalls = append(c.pendingCalls, quarantineCall{fingerprint: fingerprint})
}
