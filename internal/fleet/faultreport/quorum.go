package faultreport

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"calicohill/routing"
)

const (
	minQuorum              = 2                      // a single reporter must not be able to eject a worker
	byzantineDivisor       = 3                      // by default, fewer than 1/3 of the members may be byzantine
	verdictRefreshInterval = 500 * time.Millisecond // interval at which unchanged verdicts are republished
)

// quorumSize returns the number of reporters required to eject a worker: one more than the tolerated byzantine members,
// and at least minQuorum. A negative maxByzantine stands for the largest number under a third of the fleet.
func quorumSize(fleetSize, maxByzantine int) int {
	byzantine := maxByzantine
	if byzantine < 0 {
		byzantine = (fleetSize - 1) / byzantineDivisor
	}
	return max(minQuorum, byzantine+1)
}

// reportCounts counts the trusted reporters of each worker.
type reportCounts struct {
	anyFault      map[string]int // reporters of any fault
	ejectionFault map[string]int // reporters of a fault that warrants ejection
}

// verdictPublisher holds the last published verdicts and the workers cleared since then.
type verdictPublisher struct {
	verdicts    map[string]routing.PeerVerdict
	publishedAt time.Duration
	cleared     []string // workers on which a reporter withdrew its report
}

func newVerdictPublisher() *verdictPublisher {
	return &verdictPublisher{verdicts: map[string]routing.PeerVerdict{}}
}

// empty reports whether no worker has a verdict.
func (p *verdictPublisher) empty() bool { return len(p.verdicts) == 0 }

// addCleared adds workers on which a reporter withdrew its report.
func (p *verdictPublisher) addCleared(workers []string) { p.cleared = append(p.cleared, workers...) }

// next computes the verdicts, of which at most limit are Confirmed. It returns them for publication if a verdict has
// changed or a worker was cleared, and every verdictRefreshInterval while there are any. ok is false if there is
// nothing to publish.
func (p *verdictPublisher) next(now time.Duration, counts reportCounts, quorum, limit int) (published PublishVerdicts, ok bool) {
	verdicts := map[string]routing.PeerVerdict{}
	for worker := range counts.anyFault {
		verdicts[worker] = routing.Reported
	}
	for _, worker := range p.confirmed(counts.ejectionFault, quorum, limit) {
		verdicts[worker] = routing.Confirmed
	}
	refresh := len(verdicts) > 0 && now-p.publishedAt >= verdictRefreshInterval
	if !refresh && len(p.cleared) == 0 && maps.Equal(verdicts, p.verdicts) {
		return PublishVerdicts{}, false
	}
	published = PublishVerdicts{routing.PeerReports{Verdicts: maps.Clone(verdicts), Cleared: p.cleared}}
	p.verdicts = verdicts
	p.publishedAt = now
	p.cleared = nil
	return published, true
}

// confirmed returns at most limit workers that a quorum reports. If there are more, workers that are already Confirmed
// take precedence, which keeps the selection stable, followed by the workers with the most reporters.
func (p *verdictPublisher) confirmed(reporters map[string]int, quorum, limit int) []string {
	var candidates []string
	for worker, n := range reporters {
		if n >= quorum {
			candidates = append(candidates, worker)
		}
	}
	slices.SortFunc(candidates, func(x, y string) int {
		return cmp.Or(
			cmp.Compare(verdictRank(p.verdicts[y]), verdictRank(p.verdicts[x])),
			cmp.Compare(reporters[y], reporters[x]),
			cmp.Compare(x, y),
		)
	})
	return candidates[:min(len(candidates), limit)]
}

// verdictRank returns the sort key of a worker's last verdict: 1 for Confirmed and 0 otherwise.
func verdictRank(verdict routing.PeerVerdict) int {
	if verdict == routing.Confirmed {
		return 1
	}
	return 0
}
