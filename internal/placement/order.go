package placement

import (
	"fmt"
	"math"
	"time"
)

const (
	// workspaceRankWeight and routeRankWeight are by how much a request counts less for each rank of its workspace and of its
	// route. A workspace goes before a route.
	workspaceRankWeight = 0.5
	routeRankWeight     = 0.7
	// minRankWeight bounds the product, so that no kind of request and no workspace starves: requests of any rank count.
	minRankWeight = 0.2
	// slotsKeptPerRank is the share of the slots of a cell that is kept from requests for each of their ranks, and
	// maxSlotsKept the largest such share (trunk reservation).
	slotsKeptPerRank = 0.05
	maxSlotsKept     = 0.15
)

// rankWeight returns how much a request counts by its priority, from minRankWeight to 1 for the most urgent.
func rankWeight(j *Job) float64 {
	weight := math.Pow(workspaceRankWeight, float64(j.Rank.Workspace)) * math.Pow(routeRankWeight, float64(j.Rank.Route))
	return max(minRankWeight, weight)
}

// yields reports whether a request must leave the last free slots to more urgent ones. It is refused at once: a request
// that waited for a slot would take it before the urgent one comes.
func (s *Scheduler) yields(now time.Time, j *Job, usable []*replica) bool {
	rank := j.Rank.Workspace + j.Rank.Route
	if rank <= 0 {
		return false
	}
	used := 0
	for _, r := range usable {
		used += r.primaryCount()
	}
	slots := len(usable) * s.engine.Slots
	kept := min(maxSlotsKept, slotsKeptPerRank*float64(rank))
	return float64(used) > (1-kept)*float64(slots)
}

// yieldRejection returns the reply for a request that leaves the last slots to more urgent ones. Its caller returns when a
// third of its time has passed, as one that finds too many others ahead.
func (s *Scheduler) yieldRejection(j *Job) ReserveReply {
	return ReserveReply{
		Status: Rejected, After: min(maxRetryAfter, max(minRetryAfter, j.Left/returnDivisor)),
		Reason: fmt.Sprintf("the last slots are kept for more urgent requests; this one is %d ranks behind", j.Rank.Workspace+j.Rank.Route),
	}
}
