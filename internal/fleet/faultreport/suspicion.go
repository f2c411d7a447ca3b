// Package faultreport decides what the word of other schedulers on workers is worth.
//
// Each scheduler tells the others what it sees itself, and only that counts, once for each signer. What they say
// together comes out as a Word on each worker; the Router decides what it does with that. Core does no I/O: Step is
// told what happened and what time it is.
//
// What holds, whatever is heard, as long as no more than the told number of members lie: no worker is Believed ill
// that no honest member finds ill; never more than Config.LeaveOut of the listed workers are Believed; and nothing
// that was heard counts for longer than Config.ForgetAfter without being said again.
package faultreport

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"calicohill/routing"

	"github.com/fxamacker/cbor/v2"
)

// grave reports whether a worker may be left out for a trouble. One that only stalls or fails some requests still
// serves.
func warrantsEjection(t routing.Fault) bool {
	return t == routing.Unresponsive || t == routing.Unreachable
}

// Accusation is what one scheduler finds wrong with a worker.
type Accusation struct {
	_        struct{} `cbor:",toarray"`
	Worker   string
	Trouble  routing.Fault
	First    uint32 // how long ago the trouble was first seen when this was said, in milliseconds
	Last     uint32 // and last: the newest request that shows it
	Attempts uint16 // that showed it
}

// MaxAccusations is how many accusations a statement holds, and MaxWorkerIDBytes how long a worker's id in one may be.
const (
	MaxAccusations    = 12
	MaxWorkerIDBytes  = 48
	maxStatementBytes = 480
)

var (
	statementEncoder = func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err) // the options are constant
		}
		return m
	}()
	statementDecoder = func() cbor.DecMode {
		m, err := cbor.DecOptions{
			MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, UTF8: cbor.UTF8RejectInvalid,
		}.DecMode()
		if err != nil {
			panic(err) // the options are constant
		}
		return m
	}()
)

// ErrMalformed is the error of Decode.
var ErrMalformed = errors.New("suspicion: malformed statement")

// Encode writes accusations as the body of a statement: the newest ones, as many as fit.
func Encode(list []Accusation) ([]byte, error) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Accusation) int {
		return cmp.Or(cmp.Compare(a.Last, b.Last), cmp.Compare(a.Worker, b.Worker))
	})
	list = slices.DeleteFunc(list, func(a Accusation) bool { return len(a.Worker) > MaxWorkerIDBytes })
	for list = list[:min(len(list), MaxAccusations)]; ; list = list[:len(list)-1] {
		b, err := statementEncoder.Marshal(list)
		if err != nil || len(b) <= maxStatementBytes {
			return b, err
		}
	}
}

// Decode reads the body of a statement.
func Decode(b []byte) ([]Accusation, error) {
	var list []Accusation
	if len(b) > maxStatementBytes {
		return nil, ErrMalformed
	}
	if err := statementDecoder.Unmarshal(b, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	seen := map[string]bool{}
	for _, a := range list {
		if a.Worker == "" || len(a.Worker) > MaxWorkerIDBytes || a.Trouble == routing.Healthy || a.Trouble > routing.Unreachable || a.Last > a.First ||
			seen[a.Worker] {
			return nil, ErrMalformed
		}
		seen[a.Worker] = true
	}
	if len(list) > MaxAccusations {
		return nil, ErrMalformed
	}
	return list, nil
}

// Config is what a Core works with.
type Config struct {
	Liars       int // members that may lie; below 0: the most that are less than a third
	LeaveOut    float64
	ForgetAfter time.Duration
}

const (
	minBroadcastInterval        = 200 * time.Millisecond // the least time between two statements
	broadcastsPerTTL            = 3                      // statements within Config.ForgetAfter while there is something to say
	minQuorum                   = 2                      // accusers that it takes at the least: one alone leaves nobody out
	contradictionMargin         = 300 * time.Millisecond // how far within the time of an accusation an answer must lie to belie it
	contradictionFactor         = 0.5                    // what a belied accusation leaves of its accuser's credit
	minReputation               = 0.6                    // credit under which an accuser is not heard
	reputationRecoveryPerSecond = 0.02                   // credit won back in a second
	massReportFraction          = 0.5                    // accusing more of the list than this, and more than
	massReportThreshold         = 4                      // this many, makes an accuser unheard
	muteDuration                = 30 * time.Second       // for so long
	verdictRefreshInterval      = 500 * time.Millisecond // how often the Router is told the same
	maxReporters                = 4096
	maxFindings                 = 4096 // own findings
)

// Event is something that a Core is told.
type Event interface{ event() }

// FaultObserved is what this scheduler finds of a worker itself; Well is an answer. At is when what shows it was sent.
type FaultObserved struct {
	Worker string
	Fault  routing.Fault
	At     time.Duration
}

// EndpointsChanged is the workers that the list names now.
type EndpointsChanged struct{ Workers []string }

// Members is who is taken to be there, this one left out.
type Members struct{ Names []string }

// Heard is a statement of a member. Its Body is what Encode wrote.
type Heard struct {
	From string
	Body []byte
}

// Lied says that a member was caught at telling two stories.
type Lied struct{ From string }

// Configure changes the settings.
type Configure struct{ Config }

func (FaultObserved) event()    {}
func (EndpointsChanged) event() {}
func (Members) event()          {}
func (Heard) event()            {}
func (Lied) event()             {}
func (Configure) event()        {}

// Action is something that a Core asks for.
type Action interface{ action() }

// Say has a statement made for all others.
type Say struct{ Accusations []Accusation }

// Hold tells the Router what peers hold of workers, in place of all before; who is not named has no word. It comes
// when that changes, and time and again as long as there is any.
type Hold struct{ routing.PeerReports }

// Discredited says that a member is not heard, and why.
type Discredited struct{ From, Why string }

func (Say) action()         {}
func (Hold) action()        {}
func (Discredited) action() {}

// finding is what this scheduler finds of a worker.
type finding struct {
	fault               routing.Fault
	firstSeen, lastSeen time.Duration
	attempts            uint16
	lastHealthy         time.Duration // latest answer
}

type reporter struct {
	isMember           bool // a member
	reputation         float64
	reputationAt       time.Duration
	mutedUntil         time.Duration // until then
	reports            map[string]peerReport
	discreditAnnounced bool                     // that it is not heard
	clearedAt          map[string]time.Duration // when it last vouched for a worker
}

// held is an accusation, by the clock of this scheduler.
type peerReport struct {
	fault                          routing.Fault
	firstSeen, lastSeen, expiresAt time.Duration
	contradicted                   bool
}

// Core is one scheduler's view. It is not safe for concurrent use.
type Core struct {
	config              Config
	now                 time.Duration
	endpoints           map[string]bool
	findings            map[string]*finding
	reporters           map[string]*reporter
	cleared             []string // workers that an accuser has just had an answer from
	verdicts            map[string]routing.PeerVerdict
	verdictsPublishedAt time.Duration // when the latest Hold was made
	fleetSize           int           // with this one
	broadcastAt         time.Duration
	findingsChanged     bool // own findings, since said
	emptyBroadcastsLeft int  // statements of nothing that are still to be made
	actions             []Action
}

// New returns a Core that knows nothing.
func New(c Config) *Core {
	return &Core{
		config: c, endpoints: map[string]bool{}, findings: map[string]*finding{}, reporters: map[string]*reporter{},
		verdicts: map[string]routing.PeerVerdict{}, fleetSize: 1,
	}
}

// Step tells the Core what happened at one moment and returns what is to be done.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = max(now, c.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case FaultObserved:
			c.observe(e)
		case EndpointsChanged:
			c.setEndpoints(e.Workers)
		case Members:
			c.setMembers(e.Names)
		case Heard:
			c.receive(e)
		case Lied:
			if a := c.reporters[e.From]; a != nil {
				c.mute(e.From, a, "it tells different stories")
			}
		case Configure:
			c.config = e.Config
		}
	}
	c.expire()
	c.broadcast()
	c.publishVerdicts()
	return c.actions
}

// Next is when Step must be called at the latest.
func (c *Core) Next() time.Duration {
	if len(c.verdicts) == 0 && c.emptyBroadcastsLeft == 0 && !c.findingsChanged {
		return c.now + time.Second // only to forget
	}
	return c.now + minBroadcastInterval
}

// Need is how many accusers it takes to leave a worker out: one more than may lie, and two at the least.
func (c *Core) Need() int {
	liars := c.config.Liars
	if liars < 0 {
		liars = (c.fleetSize - 1) / 3
	}
	return max(minQuorum, liars+1)
}

// ---- what this scheduler sees ----

func (c *Core) observe(e FaultObserved) {
	f := c.findings[e.Worker]
	if f == nil {
		if len(c.findings) >= maxFindings || !c.endpoints[e.Worker] {
			return
		}
		f = &finding{}
		c.findings[e.Worker] = f
	}
	if e.Fault == routing.Healthy {
		f.lastHealthy = max(f.lastHealthy, e.At)
		if f.fault != routing.Healthy {
			c.findingsChanged = true
		}
		f.fault, f.attempts = routing.Healthy, 0
		c.contradict(e.Worker, e.At)
		return
	}
	if f.fault != e.Fault {
		f.fault, f.firstSeen, f.attempts = e.Fault, e.At, 0
		c.findingsChanged = true
	} else if e.At > f.lastSeen {
		c.findingsChanged = true // newer proof
	}
	f.lastSeen = max(f.lastSeen, e.At)
	f.attempts = min(f.attempts, 1<<15) + 1
}

// belie takes credit from those who found a worker silent while it answered here.
func (c *Core) contradict(worker string, at time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(c.reporters)) {
		a := c.reporters[name]
		h, ok := a.reports[worker]
		if !ok || h.contradicted || !warrantsEjection(h.fault) || at < h.firstSeen+contradictionMargin || at > h.lastSeen-contradictionMargin {
			continue
		}
		h.contradicted = true
		a.reports[worker] = h
		a.reputation, a.reputationAt = a.reputationNow(c.now)*contradictionFactor, c.now
		if a.reputation < minReputation {
			c.announceDiscredit(name, a, "answers here belie what it says")
		}
	}
}

func (a *reporter) reputationNow(now time.Duration) float64 {
	return min(1, a.reputation+reputationRecoveryPerSecond*(now-a.reputationAt).Seconds())
}

// ---- what others say ----

func (c *Core) setEndpoints(workers []string) {
	clear(c.endpoints)
	for _, w := range workers {
		c.endpoints[w] = true
	}
	maps.DeleteFunc(c.findings, func(w string, f *finding) bool {
		c.findingsChanged = c.findingsChanged || !c.endpoints[w] && f.fault != routing.Healthy
		return !c.endpoints[w]
	})
}

func (c *Core) setMembers(names []string) {
	for _, a := range c.reporters {
		a.isMember = false
	}
	for _, n := range names {
		if a := c.ensureReporter(n); a != nil {
			a.isMember = true
		}
	}
	c.fleetSize = len(names) + 1
}

func (c *Core) ensureReporter(name string) *reporter {
	a := c.reporters[name]
	if a == nil && len(c.reporters) < maxReporters {
		a = &reporter{reputation: 1, reports: map[string]peerReport{}, clearedAt: map[string]time.Duration{}}
		c.reporters[name] = a
	}
	return a
}

func (c *Core) receive(e Heard) {
	list, err := Decode(e.Body)
	a := c.reporters[e.From]
	if err != nil || a == nil {
		return
	}
	listed, before := 0, a.reports
	a.reports = map[string]peerReport{}
	for _, n := range list {
		if !c.endpoints[n.Worker] {
			continue // it may be listed there already, or still
		}
		listed++
		h := peerReport{fault: n.Trouble, firstSeen: c.now - milliseconds(n.First), lastSeen: c.now - milliseconds(n.Last)}
		if h.expiresAt = h.lastSeen + c.config.ForgetAfter; h.expiresAt <= c.now {
			continue
		}
		// Once belied it stays so, however often it is said again, as long as it is the same trouble.
		if old, ok := before[n.Worker]; ok && old.contradicted && h.firstSeen < old.lastSeen {
			h.contradicted = true
		}
		a.reports[n.Worker] = h
		if f := c.findings[n.Worker]; f != nil && f.lastHealthy > 0 && !h.contradicted {
			c.contradict(n.Worker, f.lastHealthy)
		}
	}
	if listed > massReportThreshold && float64(listed) > massReportFraction*float64(len(c.endpoints)) {
		c.mute(e.From, a, "it accuses most of the workers")
		return
	}
	// Whoever takes its word back has had an answer. It may be a liar's, and brings one trial at the most; so it is
	// heeded once in a while for each worker.
	for _, w := range slices.Sorted(maps.Keys(before)) {
		h, at := before[w], a.clearedAt[w]
		if _, still := a.reports[w]; !still && warrantsEjection(h.fault) && !h.contradicted && c.isTrusted(a) &&
			(at == 0 || c.now-at >= c.config.ForgetAfter) {
			a.clearedAt[w] = c.now
			c.cleared = append(c.cleared, w)
		}
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (c *Core) mute(name string, a *reporter, why string) {
	a.mutedUntil = c.now + muteDuration
	clear(a.reports)
	c.announceDiscredit(name, a, why)
}

func (c *Core) announceDiscredit(name string, a *reporter, why string) {
	if !a.discreditAnnounced {
		a.discreditAnnounced = true
		c.actions = append(c.actions, Discredited{name, why})
	}
}

// heeded reports whether an accuser counts.
func (c *Core) isTrusted(a *reporter) bool {
	return a.isMember && c.now >= a.mutedUntil && a.reputationNow(c.now) >= minReputation
}

func (c *Core) expire() {
	maps.DeleteFunc(c.reporters, func(_ string, a *reporter) bool {
		maps.DeleteFunc(a.reports, func(w string, h peerReport) bool { return c.now >= h.expiresAt || !c.endpoints[w] })
		maps.DeleteFunc(a.clearedAt, func(_ string, at time.Duration) bool { return c.now-at >= c.config.ForgetAfter })
		if c.isTrusted(a) {
			a.discreditAnnounced = false
		}
		return !a.isMember && len(a.reports) == 0 && c.now >= a.mutedUntil && a.reputationNow(c.now) >= 1
	})
	for _, f := range c.findings {
		if f.fault != routing.Healthy && c.now-f.lastSeen >= c.config.ForgetAfter {
			f.fault, f.attempts, c.findingsChanged = routing.Healthy, 0, true
		}
	}
}

// ---- what comes of it ----

// say makes a statement of what is found here: when that has changed, and again as long as there is anything.
func (c *Core) broadcast() {
	again := c.now-c.broadcastAt >= c.config.ForgetAfter/broadcastsPerTTL
	if c.now-c.broadcastAt < minBroadcastInterval || !c.findingsChanged && !again {
		return
	}
	var list []Accusation
	for _, w := range slices.Sorted(maps.Keys(c.findings)) {
		if f := c.findings[w]; f.fault != routing.Healthy {
			list = append(list, Accusation{
				Worker: w, Trouble: f.fault, First: millisecondsSince(c.now, f.firstSeen),
				Last: millisecondsSince(c.now, f.lastSeen), Attempts: f.attempts,
			})
		}
	}
	if len(list) > 0 {
		c.emptyBroadcastsLeft = broadcastsPerTTL
	} else if c.emptyBroadcastsLeft == 0 {
		c.findingsChanged = false
		return
	} else {
		c.emptyBroadcastsLeft-- // that there is nothing any more may be lost on its way
	}
	c.broadcastAt, c.findingsChanged = c.now, false
	c.actions = append(c.actions, Say{list})
}

func millisecondsSince(now, at time.Duration) uint32 { return uint32(max(0, now-at).Milliseconds()) }

// hold works out the word on each worker.
func (c *Core) publishVerdicts() {
	graves, all := map[string]int{}, map[string]int{}
	for _, a := range c.reporters {
		if !c.isTrusted(a) {
			continue
		}
		for w, h := range a.reports {
			if h.contradicted {
				continue
			}
			all[w]++
			if warrantsEjection(h.fault) {
				graves[w]++
			}
		}
	}
	words := map[string]routing.PeerVerdict{}
	for w := range all {
		words[w] = routing.Reported
	}
	// Those with the most accusers come first where not all may be left out; those left out before stay so.
	need, most := c.Need(), int(c.config.LeaveOut*float64(len(c.endpoints)))
	var ill []string
	for w, n := range graves {
		if n >= need {
			ill = append(ill, w)
		}
	}
	slices.SortFunc(ill, func(a, b string) int {
		return cmp.Or(cmp.Compare(verdictRank(c.verdicts[b]), verdictRank(c.verdicts[a])), cmp.Compare(graves[b], graves[a]), cmp.Compare(a, b))
	})
	for _, w := range ill[:min(len(ill), most)] {
		words[w] = routing.Confirmed
	}
	// The Router weighs them against its own answers, which age.
	if !maps.Equal(words, c.verdicts) || len(c.cleared) > 0 || len(words) > 0 && c.now-c.verdictsPublishedAt >= verdictRefreshInterval {
		c.verdicts, c.verdictsPublishedAt = words, c.now
		c.actions = append(c.actions, Hold{routing.PeerReports{Verdicts: maps.Clone(words), Cleared: c.cleared}})
		c.cleared = nil
	}
}

func verdictRank(w routing.PeerVerdict) int {
	if w == routing.Confirmed {
		return 1
	}
	return 0
}
