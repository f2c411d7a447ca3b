package faultreport

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"calicohill/routing"
)

const (
	minQuorum              = 2                      // a single reporter never has a worker ejected
	byzantineDivisor       = 3                      // fewer than this part of the members may be byzantine by default
	verdictRefreshInterval = 500 * time.Millisecond // how often unchanged verdicts are published again
)

// Quorum returns how many reporters it takes to have a worker ejected: one more than may be byzantine, and at least
// minQuorum.
func (c *Core) Quorum() int {
	byzantine := c.config.MaxByzantine
	if byzantine < 0 {
		byzantine = (c.fleetSize - 1) / byzantineDivisor
	}
	return max(minQuorum, byzantine+1)
}

// reportCounts holds the number of trusted reporters of each worker.
type reportCounts struct {
	any      map[string]int // of any fault
	ejecting map[string]int // of a fault that warrants ejection
}

func (c *Core) countReports() reportCounts {
	counts := reportCounts{any: map[string]int{}, ejecting: map[string]int{}}
	for _, sender := range c.reporters {
		if !c.isTrusted(sender) {
			continue
		}
		for worker, report := range sender.reports {
			if report.contradicted {
				continue
			}
			counts.any[worker]++
			if warrantsEjection(report.fault) {
				counts.ejecting[worker]++
			}
		}
	}
	return counts
}

// publishVerdicts computes the verdict on each worker and emits PublishVerdicts when one has changed, when a worker
// was cleared, and every verdictRefreshInterval as long as there are any.
func (c *Core) publishVerdicts() {
	counts := c.countReports()
	verdicts := map[string]routing.PeerVerdict{}
	for worker := range counts.any {
		verdicts[worker] = routing.Reported
	}
	for _, worker := range c.confirmedWorkers(counts.ejecting) {
		verdicts[worker] = routing.Confirmed
	}
	refresh := len(verdicts) > 0 && c.now-c.verdictsPublishedAt >= verdictRefreshInterval
	if !refresh && len(c.cleared) == 0 && maps.Equal(verdicts, c.verdicts) {
		return
	}
	c.verdicts = verdicts
	c.verdictsPublishedAt = c.now
	c.actions = append(c.actions, PublishVerdicts{routing.PeerReports{Verdicts: maps.Clone(verdicts), Cleared: c.cleared}})
	c.cleared = nil
}

// confirmedWorkers returns the workers with a quorum, at most Config.MaxEjectedFraction of the list. Where not all fit,
// those that are Confirmed already come first, so that the choice is stable, then those with the most reporters.
func (c *Core) confirmedWorkers(reporters map[string]int) []string {
	quorum := c.Quorum()
	limit := int(c.config.MaxEjectedFraction * float64(len(c.endpoints)))
	var candidates []string
	for worker, n := range reporters {
		if n >= quorum {
			candidates = append(candidates, worker)
		}
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(verdictRank(c.verdicts[b]), verdictRank(c.verdicts[a])),
			cmp.Compare(reporters[b], reporters[a]),
			cmp.Compare(a, b),
		)
	})
	return candidates[:min(len(candidates), limit)]
}

// verdictRank is 1 for a worker that is Confirmed already and 0 for others.
func verdictRank(verdict routing.PeerVerdict) int {
	if verdict == routing.Confirmed {
		return 1
	}
	return 0
}
