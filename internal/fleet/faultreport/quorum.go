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

// quorumOf returns how many reporters it takes to have a worker ejected in a fleet of a size: one more than may be
// byzantine, and at least minQuorum.
func quorumOf(fleetSize, maxByzantine int) int {
	byzantine := maxByzantine
	if byzantine < 0 {
		byzantine = (fleetSize - 1) / byzantineDivisor
	}
	return max(minQuorum, byzantine+1)
}

// reportCounts holds the number of trusted reporters of each worker.
type reportCounts struct {
	any      map[string]int // of any fault
	ejecting map[string]int // of a fault that warrants ejection
}

// verdictBoard holds the verdicts that are published, and the workers that were cleared since.
type verdictBoard struct {
	verdicts    map[string]routing.PeerVerdict
	publishedAt time.Duration
	cleared     []string // workers that a reporter has just withdrawn its report of
}

func newVerdictBoard() *verdictBoard {
	return &verdictBoard{verdicts: map[string]routing.PeerVerdict{}}
}

// empty reports whether no worker has a verdict.
func (b *verdictBoard) empty() bool { return len(b.verdicts) == 0 }

// clear notes workers that a reporter has withdrawn its report of.
func (b *verdictBoard) clear(workers []string) { b.cleared = append(b.cleared, workers...) }

// next computes the verdict on each worker, and returns what to publish: when a verdict has changed, when a worker was
// cleared, and every verdictRefreshInterval as long as there are any. At most limit workers are Confirmed; ok is false
// if there is nothing to publish.
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

// confirmed returns the workers with a quorum, at most limit. Where not all fit, those that are Confirmed already come
// first, so that the choice is stable, then those with the most reporters.
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

// verdictRank is 1 for a worker that is Confirmed already and 0 for others.
func verdictRank(verdict routing.PeerVerdict) int {
	if verdict == routing.Confirmed {
		return 1
	}
	return 0
}
