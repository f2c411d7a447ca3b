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
func grave(t routing.Fault) bool { return t == routing.Unresponsive || t == routing.Unreachable }

// Accusation is what one scheduler finds wrong with a worker.
type Accusation struct {
	_        struct{} `cbor:",toarray"`
	Worker   string
	Trouble  routing.Fault
	First    uint32 // how long ago the trouble was first seen when this was said, in milliseconds
	Last     uint32 // and last: the newest request that shows it
	Attempts uint16 // that showed it
}

// MaxAccusations is how many accusations a statement holds, and MaxWorker how long a worker's id in one may be.
const (
	MaxAccusations = 12
	MaxWorker      = 48
	maxBody        = 480
)

var (
	encoder = func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err) // the options are constant
		}
		return m
	}()
	decoder = func() cbor.DecMode {
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
	list = slices.DeleteFunc(list, func(a Accusation) bool { return len(a.Worker) > MaxWorker })
	for list = list[:min(len(list), MaxAccusations)]; ; list = list[:len(list)-1] {
		b, err := encoder.Marshal(list)
		if err != nil || len(b) <= maxBody {
			return b, err
		}
	}
}

// Decode reads the body of a statement.
func Decode(b []byte) ([]Accusation, error) {
	var list []Accusation
	if len(b) > maxBody {
		return nil, ErrMalformed
	}
	if err := decoder.Unmarshal(b, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	seen := map[string]bool{}
	for _, a := range list {
		if a.Worker == "" || len(a.Worker) > MaxWorker || a.Trouble == routing.Healthy || a.Trouble > routing.Unreachable || a.Last > a.First ||
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
	sayEvery    = 200 * time.Millisecond // the least time between two statements
	repeats     = 3                      // statements within Config.ForgetAfter while there is something to say
	least       = 2                      // accusers that it takes at the least: one alone leaves nobody out
	contradicts = 300 * time.Millisecond // how far within the time of an accusation an answer must lie to belie it
	creditLost  = 0.5                    // what a belied accusation leaves of its accuser's credit
	creditLeast = 0.6                    // credit under which an accuser is not heard
	creditBack  = 0.02                   // credit won back in a second
	massShare   = 0.5                    // accusing more of the list than this, and more than
	massLeast   = 4                      // this many, makes an accuser unheard
	unheardFor  = 30 * time.Second       // for so long
	holdEvery   = 500 * time.Millisecond // how often the Router is told the same
	maxAccusers = 4096
	maxSeen     = 4096 // own findings
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
	trouble     routing.Fault
	first, last time.Duration
	attempts    uint16
	well        time.Duration // latest answer
}

type accuser struct {
	here     bool // a member
	credit   float64
	creditAt time.Duration
	unheard  time.Duration // until then
	held     map[string]held
	told     bool                     // that it is not heard
	vouches  map[string]time.Duration // when it last vouched for a worker
}

// held is an accusation, by the clock of this scheduler.
type held struct {
	trouble           routing.Fault
	first, last, till time.Duration
	belied            bool
}

// Core is one scheduler's view. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	now      time.Duration
	listed   map[string]bool
	own      map[string]*finding
	accusers map[string]*accuser
	vouched  []string // workers that an accuser has just had an answer from
	words    map[string]routing.PeerVerdict
	holding  time.Duration // when the latest Hold was made
	members  int           // with this one
	said     time.Duration
	changed  bool // own findings, since said
	silent   int  // statements of nothing that are still to be made
	acts     []Action
}

// New returns a Core that knows nothing.
func New(c Config) *Core {
	return &Core{
		cfg: c, listed: map[string]bool{}, own: map[string]*finding{}, accusers: map[string]*accuser{},
		words: map[string]routing.PeerVerdict{}, members: 1,
	}
}

// Step tells the Core what happened at one moment and returns what is to be done.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	c.now, c.acts = max(now, c.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case FaultObserved:
			c.saw(e)
		case EndpointsChanged:
			c.list(e.Workers)
		case Members:
			c.meet(e.Names)
		case Heard:
			c.heard(e)
		case Lied:
			if a := c.accusers[e.From]; a != nil {
				c.mute(e.From, a, "it tells different stories")
			}
		case Configure:
			c.cfg = e.Config
		}
	}
	c.expire()
	c.say()
	c.hold()
	return c.acts
}

// Next is when Step must be called at the latest.
func (c *Core) Next() time.Duration {
	if len(c.words) == 0 && c.silent == 0 && !c.changed {
		return c.now + time.Second // only to forget
	}
	return c.now + sayEvery
}

// Need is how many accusers it takes to leave a worker out: one more than may lie, and two at the least.
func (c *Core) Need() int {
	liars := c.cfg.Liars
	if liars < 0 {
		liars = (c.members - 1) / 3
	}
	return max(least, liars+1)
}

// ---- what this scheduler sees ----

func (c *Core) saw(e FaultObserved) {
	f := c.own[e.Worker]
	if f == nil {
		if len(c.own) >= maxSeen || !c.listed[e.Worker] {
			return
		}
		f = &finding{}
		c.own[e.Worker] = f
	}
	if e.Fault == routing.Healthy {
		f.well = max(f.well, e.At)
		if f.trouble != routing.Healthy {
			c.changed = true
		}
		f.trouble, f.attempts = routing.Healthy, 0
		c.belie(e.Worker, e.At)
		return
	}
	if f.trouble != e.Fault {
		f.trouble, f.first, f.attempts = e.Fault, e.At, 0
		c.changed = true
	} else if e.At > f.last {
		c.changed = true // newer proof
	}
	f.last = max(f.last, e.At)
	f.attempts = min(f.attempts, 1<<15) + 1
}

// belie takes credit from those who found a worker silent while it answered here.
func (c *Core) belie(worker string, at time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(c.accusers)) {
		a := c.accusers[name]
		h, ok := a.held[worker]
		if !ok || h.belied || !grave(h.trouble) || at < h.first+contradicts || at > h.last-contradicts {
			continue
		}
		h.belied = true
		a.held[worker] = h
		a.credit, a.creditAt = a.creditNow(c.now)*creditLost, c.now
		if a.credit < creditLeast {
			c.tell(name, a, "answers here belie what it says")
		}
	}
}

func (a *accuser) creditNow(now time.Duration) float64 {
	return min(1, a.credit+creditBack*(now-a.creditAt).Seconds())
}

// ---- what others say ----

func (c *Core) list(workers []string) {
	clear(c.listed)
	for _, w := range workers {
		c.listed[w] = true
	}
	maps.DeleteFunc(c.own, func(w string, f *finding) bool {
		c.changed = c.changed || !c.listed[w] && f.trouble != routing.Healthy
		return !c.listed[w]
	})
}

func (c *Core) meet(names []string) {
	for _, a := range c.accusers {
		a.here = false
	}
	for _, n := range names {
		if a := c.accuser(n); a != nil {
			a.here = true
		}
	}
	c.members = len(names) + 1
}

func (c *Core) accuser(name string) *accuser {
	a := c.accusers[name]
	if a == nil && len(c.accusers) < maxAccusers {
		a = &accuser{credit: 1, held: map[string]held{}, vouches: map[string]time.Duration{}}
		c.accusers[name] = a
	}
	return a
}

func (c *Core) heard(e Heard) {
	list, err := Decode(e.Body)
	a := c.accusers[e.From]
	if err != nil || a == nil {
		return
	}
	listed, before := 0, a.held
	a.held = map[string]held{}
	for _, n := range list {
		if !c.listed[n.Worker] {
			continue // it may be listed there already, or still
		}
		listed++
		h := held{trouble: n.Trouble, first: c.now - ms(n.First), last: c.now - ms(n.Last)}
		if h.till = h.last + c.cfg.ForgetAfter; h.till <= c.now {
			continue
		}
		// Once belied it stays so, however often it is said again, as long as it is the same trouble.
		if old, ok := before[n.Worker]; ok && old.belied && h.first < old.last {
			h.belied = true
		}
		a.held[n.Worker] = h
		if f := c.own[n.Worker]; f != nil && f.well > 0 && !h.belied {
			c.belie(n.Worker, f.well)
		}
	}
	if listed > massLeast && float64(listed) > massShare*float64(len(c.listed)) {
		c.mute(e.From, a, "it accuses most of the workers")
		return
	}
	// Whoever takes its word back has had an answer. It may be a liar's, and brings one trial at the most; so it is
	// heeded once in a while for each worker.
	for _, w := range slices.Sorted(maps.Keys(before)) {
		h, at := before[w], a.vouches[w]
		if _, still := a.held[w]; !still && grave(h.trouble) && !h.belied && c.heeded(a) &&
			(at == 0 || c.now-at >= c.cfg.ForgetAfter) {
			a.vouches[w] = c.now
			c.vouched = append(c.vouched, w)
		}
	}
}

func ms(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (c *Core) mute(name string, a *accuser, why string) {
	a.unheard = c.now + unheardFor
	clear(a.held)
	c.tell(name, a, why)
}

func (c *Core) tell(name string, a *accuser, why string) {
	if !a.told {
		a.told = true
		c.acts = append(c.acts, Discredited{name, why})
	}
}

// heeded reports whether an accuser counts.
func (c *Core) heeded(a *accuser) bool {
	return a.here && c.now >= a.unheard && a.creditNow(c.now) >= creditLeast
}

func (c *Core) expire() {
	maps.DeleteFunc(c.accusers, func(_ string, a *accuser) bool {
		maps.DeleteFunc(a.held, func(w string, h held) bool { return c.now >= h.till || !c.listed[w] })
		maps.DeleteFunc(a.vouches, func(_ string, at time.Duration) bool { return c.now-at >= c.cfg.ForgetAfter })
		if c.heeded(a) {
			a.told = false
		}
		return !a.here && len(a.held) == 0 && c.now >= a.unheard && a.creditNow(c.now) >= 1
	})
	for _, f := range c.own {
		if f.trouble != routing.Healthy && c.now-f.last >= c.cfg.ForgetAfter {
			f.trouble, f.attempts, c.changed = routing.Healthy, 0, true
		}
	}
}

// ---- what comes of it ----

// say makes a statement of what is found here: when that has changed, and again as long as there is anything.
func (c *Core) say() {
	again := c.now-c.said >= c.cfg.ForgetAfter/repeats
	if c.now-c.said < sayEvery || !c.changed && !again {
		return
	}
	var list []Accusation
	for _, w := range slices.Sorted(maps.Keys(c.own)) {
		if f := c.own[w]; f.trouble != routing.Healthy {
			list = append(list, Accusation{
				Worker: w, Trouble: f.trouble, First: ago(c.now, f.first),
				Last: ago(c.now, f.last), Attempts: f.attempts,
			})
		}
	}
	if len(list) > 0 {
		c.silent = repeats
	} else if c.silent == 0 {
		c.changed = false
		return
	} else {
		c.silent-- // that there is nothing any more may be lost on its way
	}
	c.said, c.changed = c.now, false
	c.acts = append(c.acts, Say{list})
}

func ago(now, at time.Duration) uint32 { return uint32(max(0, now-at).Milliseconds()) }

// hold works out the word on each worker.
func (c *Core) hold() {
	graves, all := map[string]int{}, map[string]int{}
	for _, a := range c.accusers {
		if !c.heeded(a) {
			continue
		}
		for w, h := range a.held {
			if h.belied {
				continue
			}
			all[w]++
			if grave(h.trouble) {
				graves[w]++
			}
		}
	}
	words := map[string]routing.PeerVerdict{}
	for w := range all {
		words[w] = routing.Reported
	}
	// Those with the most accusers come first where not all may be left out; those left out before stay so.
	need, most := c.Need(), int(c.cfg.LeaveOut*float64(len(c.listed)))
	var ill []string
	for w, n := range graves {
		if n >= need {
			ill = append(ill, w)
		}
	}
	slices.SortFunc(ill, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(c.words[b]), rank(c.words[a])), cmp.Compare(graves[b], graves[a]), cmp.Compare(a, b))
	})
	for _, w := range ill[:min(len(ill), most)] {
		words[w] = routing.Confirmed
	}
	// The Router weighs them against its own answers, which age.
	if !maps.Equal(words, c.words) || len(c.vouched) > 0 || len(words) > 0 && c.now-c.holding >= holdEvery {
		c.words, c.holding = words, c.now
		c.acts = append(c.acts, Hold{routing.PeerReports{Verdicts: maps.Clone(words), Cleared: c.vouched}})
		c.vouched = nil
	}
}

func rank(w routing.PeerVerdict) int {
	if w == routing.Confirmed {
		return 1
	}
	return 0
}
