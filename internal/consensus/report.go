package consensus

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// failedCampaignReportInterval is the time between two log lines about elections without a leader.
const failedCampaignReportInterval = 2 * time.Second

// report holds what a node has logged about its quorum. It is used by the goroutine of Run only.
type report struct {
	failedCampaignAt time.Duration
	lostVoters       []string
}

// reportStart logs what the node has read from its files.
func (n *Node) reportStart() {
	c := n.core
	n.config.Logger.Info("Opened the replicated log", zap.String("id", c.id), zap.Uint64("term", c.state.Term),
		zap.Uint64("last-index", c.log.lastIndex()), zap.Uint64("snapshot-index", c.log.snapshot.Index),
		zap.Strings("members", c.membership().describe()))
}

// reportChanges logs a failed election, and the voters that have become unreachable or reachable
// while this node leads.
func (n *Node) reportChanges(out *output) {
	if f := out.failedCampaign; f != nil {
		n.reportFailedCampaign(f)
	}
	var lost []string
	if n.core.role == Leader {
		lost = slices.Collect(n.core.lostVoters())
	}
	for _, id := range lost {
		if !slices.Contains(n.report.lostVoters, id) {
			n.config.Logger.Warn("A voter does not reply", zap.String("voter", id), zap.Int("voters", n.core.membership().voters()),
				zap.Int("quorum", quorum(n.core.membership().voters())), zap.Strings("members", n.core.membership().describe()))
		}
	}
	for _, id := range n.report.lostVoters {
		if n.core.role == Leader && n.core.membership().voter(id) && !slices.Contains(lost, id) {
			n.config.Logger.Info("A voter replies again", zap.String("voter", id))
		}
	}
	n.report.lostVoters = lost
}

func (n *Node) reportFailedCampaign(f *failedCampaign) {
	now := n.config.Now()
	if n.report.failedCampaignAt != 0 && now < n.report.failedCampaignAt+failedCampaignReportInterval {
		return
	}
	n.report.failedCampaignAt = now
	n.config.Logger.Warn("Could not become the leader", zap.Uint64("term", f.term), zap.Int("quorum", f.quorum),
		zap.Strings("granted", f.granted), zap.Strings("refused", f.refused), zap.Strings("silent", f.silent))
}
