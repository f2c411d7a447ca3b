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
func quorumOf(fleetSize, maxByzantine int) int {
	byzantine := maxByzantine
	if byzantine < 0 {
		byzantine = (fleetSize - 1) / byzantineDivisor
	}
	return max(minQuorum, byzantine+1)
}

// reportCounts counts the trusted reporters of each worker.
type reportCounts struct {
	any      map[string]int // reporters of any fault
	ejecting map[string]int // reporters of a fault that warrants ejection
}

// verdictPublisher holds the last published verdicts and the workers cleared since then.
type verdictBoard struct {
	verdicts    map[string]routing.PeerVerdict
	publishedAt time.Duration
	cleared     []string // workers on which a reporter withdrew its report
}

func newVerdictBoard() *verdictBoard {
	return &verdictBoard{verdicts: map[string]routing.PeerVerdict{}}
}

// empty reports whether no worker has a verdict.
func (b *verdictBoard) empty() bool { return len(b.verdicts) == 0 }

// addCleared adds workers on which a reporter withdrew its report.
func (b *verdictBoard) clear(workers []string) { b.cleared = append(b.cleared, workers...) }

// next computes the verdicts, of which at most limit are Confirmed. It returns them for publication if a verdict has
// changed or a worker was cleared, and every verdictRefreshInterval while there are any. ok is false if there is
// nothing to publish.
func (b *verdictBoard) next(now time.Duration, counts reportCounts, quorum, limit int) (published PublishVerdicts, ok bool) {
	verdicts := map[string]routing.PeerVerdict{}
	for worker := range counts.any {
		verdicts[worker] = routing.Reported
	}
	for _, worker := range b.confirmed(counts.ejecting, quorum, limit) {
		verdicts[worker] = routing.Confirmed
	}
	refresh := len(verdicts) > 0 && now-b.publishedAt >= verdictRefreshInterval
	if !refresh && len(b.cleared) == 0 && maps.Equal(verdicts, b.verdicts) {
		return PublishVerdicts{}, false
	}
	published = PublishVerdicts{routing.PeerReports{Verdicts: maps.Clone(verdicts), Cleared: b.cleared}}
	b.verdicts = verdicts
	b.publishedAt = now
	b.cleared = nil
	return published, true
}

// confirmed returns at most limit workers that a quorum reports. If there are more, workers that are already Confirmed
// take precedence, which keeps the selection stable, followed by the workers with the most reporters.
func (b *verdictBoard) confirmed(reporters map[string]int, quorum, limit int) []string {
	var candidates []string
	for worker, n := range reporters {
		if n >= quorum {
			candidates = append(candidates, worker)
		}
	}
	slices.SortFunc(candidates, func(x, y string) int {
		return cmp.Or(
			cmp.Compare(verdictRank(b.verdicts[y]), verdictRank(b.verdicts[x])),
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
