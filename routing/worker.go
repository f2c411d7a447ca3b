package routing

import (
	"time"

	"calicohill/internal/stats/decay"
)

type worker struct {
	Worker
	loadsWaiting                   int // attempts of ours that wait for a load: they hold no lane
	inFlight                       []*attempt
	concurrencyLimit               float64     // how many that hold a lane may be there
	incarnation                    int         // counts restarts; beliefs of an earlier life are void
	pressureExcess                 decay.Value // above what others are pressed
	peerInFlight                   float64     // requests of other schedulers
	ejected                        bool
	verdict                        PeerVerdict // what other schedulers hold of it
	reportedFault                  Fault       // what they were told of it last, as seen at seenAt
	probes, consecutiveSheds       int         // trials since it became suspect; refusals in a row
	errorShare, latencyExcess      decay.Value // running share of errors in its answers; excess of its latencies
	connectionBreaks               int         // times that connections broke with no answer since
	lastBreakAt, reportedAt        time.Duration
	lastAnswerAt, probationAt      time.Duration
	answeredAt                     time.Duration   // when it answered last; 0 if it never did
	backoffUntil, loadBackoffUntil time.Duration   // it gets nothing new, or no new load, until then
	slowStartQuota                 int             // calls that it may be sent in a window while cold, until quotaTill
	slowStartSends                 []time.Duration // when it was sent those of the latest window
	slowStartQuotaUntil, removedAt time.Duration
}
