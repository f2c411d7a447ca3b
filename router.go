// Package calicohill decides, for a scheduler in front of workers that keep only some of many functions
// loaded, where each request goes, which requests are refused, and when an attempt is given up for another.
// Every decision, constant and table is in this file; departures are marked "A departure".
package calicohill

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	beat      = 10 * time.Millisecond // how often held and overdue requests are looked at
	beatToken = 1

	walkDepth = 4 // workers of the hash order that a request may try before it waits
	// Weights of a new latency in a function's mean, in what is known of a worker, which each scheduler sees
	// seldom, and in the mean of all.
	meanWeight, workerWeight, fleetWeight = 0.2, 0.5, 0.05

	callsThere         = 12.0      // calls of all schedulers at a worker that a limit starts from
	limitMin, limitMax = 1.0, 48.0 // its range
	// An answer from a warm copy that takes longer than limitAims of its aim leaves limitCut of the limit.
	limitCut, limitAims = 0.8, 0.7

	// An attempt is overdue after this share of the aim or this multiple of the function's mean, whichever is
	// more (the aim at most), and this multiple of a load where one is due.
	overdueAims, overdueMeans, overdueLoads = 0.5, 3.0, 2.0

	presumedFrom = 4   // calls by others within a keep-alive that leave a copy standing
	spillMost    = 0.4 // share of lanes taken up to which a function that stands may be loaded elsewhere too
	loadLanes    = 4   // calls of ours that may wait for loads at a worker when another load is sent there

	trialAfter = time.Second // first pause before a suspect worker is tried again; doubles, to 8 s

	breaksMost = 3 // connections that break in a row, with no answer between, make a worker suspect

	// A worker of whose late answers more than errsMost are errors gets no calls that must not be repeated.
	errsWeight, errsMost = 0.1, 0.15

	// Calls overdue alone, at a worker that answers others, that may be sent elsewhere too: for each whose
	// answer never came, and how many in all.
	aloneMore, aloneMost = 4, 8

	shedPauses = 16 // a worker that turns a call away is left alone for two such parts of a service time

	widthMore = 2.0 // workers for a function, as a multiple of its part of the calls times all workers
	widthTau  = 2.0 // keep-alives over which that part is counted
	crowdAims = 0.2 // answers of a crowded worker take this share of the least aim, and
	crowdPace = 1.3 // this many times what they take elsewhere, more with few schedulers:
	crowdOwn  = 2.0 // by this times our part of the calls

	refuseFrom = 0.5 // mean answers of this share of the aim begin to be refused; of twice that
	refuseMost = 0.8 // no more than this share is, or nothing would show that the worker is well again

	keepAlive  = 10 * time.Second // where none is told
	coldMargin = 0.9              // share of a cold worker's budget that is used
)

// A Router decides for one scheduler. It is not safe for concurrent use.
type Router struct {
	set           Settings
	rng           *rand.Rand
	now           time.Duration
	started       bool
	acts          []Action
	requests      map[string]*request // until every attempt has ended
	held          []*request          // least deadline first
	workers       map[string]*worker
	list          []*worker // by id
	version       int       // of the list, for the functions' hash orders
	funcs         map[string]*function
	funcList      []*function     // in order of first sight
	leastAim, lat float64         // least aim of all classes and mean latency of warm calls, in seconds
	well          int             // usable workers that do not answer errors
	alone         int             // calls overdue alone that may be sent elsewhere too
	lanes, busy   float64         // lanes that are usable; share of them that is taken
	allCalls      float64         // of all functions, decaying
	outWork       float64         // summed service times of attempts that are out, in seconds
	calls, orders []time.Duration // taken, and orders to load given, within the window of the ration
	tenants       []bucket        // what is left of each tenant's share

	// answers of warm workers since servedAt; and in a second, for a worker of size 1
	served, perWeight            float64
	servedAt, askAgain, lastCall time.Duration
}

type bucket struct {
	level float64
	at    time.Duration
}

type worker struct {
	Worker
	loads             int // attempts of ours that wait for a load: they hold no lane
	outs              []*attempt
	limit             float64 // how many that hold a lane may be there
	life              int     // counts restarts; beliefs of an earlier life are void
	others, pace      float64 // requests of other schedulers; excess of latencies over those elsewhere
	suspect           bool
	tries, sheds      int     // trials since it became suspect; refusals in a row
	errs              float64 // running share of its answers that are errors
	errsAt            time.Duration
	breaks            int // times that connections broke with no answer since
	brokeAt           time.Duration
	lastAnswer, tryAt time.Duration
	full, noLoads     time.Duration // it gets nothing new, or no new load, until then
	quota             int           // calls that it may still be sent while cold, until quotaTill
	quotaTill, paceAt time.Duration
	goneAt            time.Duration
}

type function struct {
	name           string
	class, lanes   int
	version        int     // of the list that order was made from
	served         bool    // some worker answered it
	calls          float64 // decaying
	mean, slowest  float64 // served latencies, in seconds: running mean, slowest recent one
	meanAt, slowAt time.Duration
	told, lastCall time.Duration // told: usual time of a load
	pairs          []*pair
	order          []*worker
}

// pair is what is known of a function at a worker.
type pair struct {
	w                 *worker
	life, copies, out int
	warm              bool
	at                time.Duration // when last found warm
	company           float64       // running mean of the calls for it that calls met there
	loading, ordered  bool          // a load that a call began, or that was ordered, is under way
}

type request struct {
	Request
	class         *Class
	fn            *function
	end, due      time.Duration // when the client gives up; the deadline that orders the queue
	half          time.Duration // half of the client's time, less what a look may be late
	attempts      []*attempt
	out           int
	done, streams bool
	reached       bool // some attempt came as far as a worker
}

type attempt struct {
	q                    *request
	n                    int
	w                    *worker
	p                    *pair
	sent, late           time.Duration // late: when it is overdue
	cost                 float64
	cold, ended, rescued bool
	proved               bool // it never ran
}

// New returns a Router for these settings. All its randomness comes from the seed.
func New(s Settings, seed uint64) (*Router, error) {
	if len(s.Classes) == 0 || s.Schedulers < 1 || s.MaxAttempts < 1 {
		return nil, errors.New("calicohill: at least 1 class, 1 scheduler and 1 attempt are needed")
	}
	least := s.Classes[0].Aim
	for i, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return nil, fmt.Errorf("calicohill: class %d: aim and deadline must be above 0", i)
		}
		least = min(least, c.Aim)
	}
	if s.ColdShare < 0 || s.LoadsPerCall < 0 || s.LoadsFree < 0 || s.TipMultiple < 0 {
		return nil, errors.New("calicohill: settings below 0")
	}
	s.KeepAlive = cmp.Or(max(s.KeepAlive, 0), keepAlive)
	return &Router{set: s, rng: rand.New(rand.NewPCG(seed, 0)), leastAim: least.Seconds(), version: 1,
		tenants: make([]bucket, len(s.Tenants)), requests: map[string]*request{},
		workers: map[string]*worker{}, funcs: map[string]*function{}}, nil
}

// Step tells the Router everything that happened at one moment, in order, and returns what is to be done.
// Ids that the Router does not hold are passed over.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.acts = max(now, r.now), nil
	if !r.started {
		r.started, r.servedAt = true, now
		r.act(SetTimer{beat, beatToken})
		if r.set.MustSubscribe {
			r.act(Subscribe{true})
		}
	}
	r.survey()
	due := false
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			r.follow(e)
		case Request:
			r.admit(e)
		case StreamStart:
			if q := r.requests[e.ID]; q != nil {
				q.streams = true
			}
		case AttemptEnd:
			r.ended(e)
		case Abandoned:
			if q := r.requests[e.ID]; q != nil {
				r.close(q)
			}
		case LoadEnd:
			r.loaded(e)
		case TimerFired:
			due = due || e.Token == beatToken
		}
	}
	// After a stall all that came meanwhile is in one batch: answers are read before a worker is judged.
	if due {
		r.act(SetTimer{beat, beatToken})
		r.look()
	}
	r.release()
	return r.acts
}

func (r *Router) act(a Action) { r.acts = append(r.acts, a) }

// ---- the ordinary path: order, refusal, route ----

// admit refuses a request whose estimated finish passes its deadline, never with nothing ahead.
func (r *Router) admit(e Request) {
	if e.Class < 0 || e.Class >= len(r.set.Classes) || r.requests[e.ID] != nil {
		return
	}
	c := &r.set.Classes[e.Class]
	q := &request{Request: e, class: c, fn: r.function(e), end: r.now + e.TimeLeft,
		due: r.now + min(e.TimeLeft, c.Deadline), half: r.now + e.TimeLeft/2 - 2*beat}
	r.requests[e.ID] = q
	if r.set.CanLoad && r.set.LoadWindow > 0 {
		r.calls = append(r.calls, r.now)
	}
	// Where a worker has room for this one, only what is out is ahead of it, not what waits for room.
	w, warm := r.pick(q)
	ahead := r.outWork
	for _, h := range r.held {
		if w != nil || h.due > q.due {
			break
		}
		ahead += r.service(h.fn)
	}
	wait := ahead / max(r.lanes, 1)
	finish := wait + r.service(q.fn)
	if !warm && (w != nil || !slices.ContainsFunc(q.fn.pairs, r.isWarm)) {
		finish += r.loadTime(q.fn)
	}
	// A departure: the call that would begin a load is let in, or slow loads would be refused for ever.
	begun := slices.ContainsFunc(q.fn.pairs, func(p *pair) bool { return r.isWarm(p) || p.loading })
	hopeless := ahead > 0 && r.now+seconds(finish) > q.due && (begun || w == nil)
	// A departure: the work ahead makes it late by the shortest aim. Against the deadline alone queues grow
	// till every answer is late. One bound, or short aims would starve. Harm: where late worth is high.
	late := c.LateWorth < 1 && wait+min(r.service(q.fn), r.leastAim/2) > r.leastAim
	// What others have ahead of it shows in how long answers from its worker take.
	share := 0.0
	if w != nil {
		share = (r.paceOf(w)*r.lat/r.leastAim - refuseFrom) / refuseFrom
		late = late || r.rng.Float64() < min(share, refuseMost)*math.Pow(r.theirs(), 4)
	}
	// Traffic past its tenant's share is worth little: it makes way as soon as anything has to wait.
	if over := r.overShare(e.Tenant); hopeless || late || over && (len(r.held) > 0 || share > 0) {
		r.finish(q)
		return
	}
	r.hold(q)
}

// survey counts the usable lanes, and what share of them is taken.
func (r *Router) survey() {
	r.busy, r.lanes, r.well = 0, 0, 0
	for _, w := range r.list {
		if r.usable(w) {
			if r.errsOf(w) <= errsMost {
				r.well++
			}
			r.busy += float64(len(w.outs) - w.loads)
			r.lanes += w.limit
		}
	}
	r.busy /= max(r.lanes, 1)
}

// hold puts a request among those that wait, least deadline first.
func (r *Router) hold(q *request) {
	i, _ := slices.BinarySearchFunc(r.held, q, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.due, b.due), -1) // behind those with the same deadline
	})
	r.held = slices.Insert(r.held, i, q)
}

// release sends what can be sent, least deadline first. A request that must wait blocks no other.
func (r *Router) release() {
	r.survey()
	kept := r.held[:0]
	for _, q := range r.held {
		// What found no room in half its time is refused while its client can still do better by coming back:
		// later a refusal is dear where nothing was ever sent, and past the half it is tried to the end.
		stuck := !q.reached && r.now >= q.half && r.now < q.half+2*beat
		if q.end-r.now <= 2*beat || stuck || !r.hopeful(q) {
			r.finish(q)
		}
		if q.done {
			continue
		}
		w, warm := r.pick(q)
		if w != nil && !warm && !r.set.LoadOnDemand && r.set.CanLoad {
			// Only an order brings the function in: calls wait here for its answer.
			r.order(w, q.fn)
			w = nil
		}
		if w == nil || !r.send(q, w, warm) {
			kept = append(kept, q)
		}
	}
	clear(r.held[len(kept):])
	r.held = kept
}

// pick chooses the worker for a request: one where its function was last found warm, while fewer of ours
// are out there than its lanes; else the less busy of the first two with room in the function's hash order.
func (r *Router) pick(q *request) (w *worker, warm bool) {
	f := q.fn
	var best, turn *pair // a copy with a free lane; one with the shortest queue of ours
	stands := false
	home := r.homes(f)
	// What others call often too is taken to stand at its homes, though no answer told this scheduler so.
	known := len(home) > 1 && float64(r.set.Schedulers-1)*f.calls/widthTau >= presumedFrom*float64(len(home))
	good := func(p *pair) bool { return r.isWarm(p) || known && slices.Contains(home, p.w) }
	for _, p := range f.pairs {
		if !p.loading && !good(p) || r.left(p) || !r.usable(p.w) || !r.maySend(q, p.w) || q.failedAt(p.w) ||
			r.shuns(q, p.w) {
			continue
		}
		stands = true
		if !r.room(q, p.w) {
			continue
		}
		if p.out >= p.copies*f.lanes {
			if turn == nil || p.out*turn.copies < turn.out*p.copies {
				turn = p
			}
			continue
		}
		if best == nil || good(p) && !good(best) ||
			good(p) == good(best) && r.busier(best.w, p.w) {
			best = p
		}
	}
	if best != nil {
		return best.w, r.isWarm(best)
	}
	// A departure: a turn at the copy that stands is waited for where that takes less than a load elsewhere,
	// or loads push out copies, whose calls load again. Harm: where told loads are slower than real ones.
	if turn != nil {
		lanes := float64(turn.copies * f.lanes)
		if !r.isWarm(turn) {
			return nil, false // its load is under way: what waits here clogs no worker if the load is slow
		}
		if (float64(turn.out)-lanes+1)/lanes*r.service(f) < r.loadTime(f) {
			return turn.w, true
		}
	}
	// A departure: with most lanes taken, what stands somewhere waits for room there, against load storms in
	// overload. Harm: one much called function in a fleet busy with long calls spreads late.
	if stands && r.busy > spillMost {
		return nil, false
	}
	// The first copy of all goes to the first with room, so that the store is asked once.
	var first *worker
	for i, w := range r.hashOrder(f) {
		if i >= walkDepth && len(q.attempts) == 0 || first != nil && !stands {
			break
		}
		p := f.pair(w)
		if r.room(q, w) && !r.left(p) && r.now >= w.noLoads && w.loads < loadLanes && p.out < f.lanes {
			if first == nil || r.busier(first, w) {
				first, w = w, first
			}
			if w != nil {
				break
			}
		}
	}
	return first, first != nil && r.isWarm(f.pair(first))
}

// busier reports whether a is busier than b; a tie is broken at random.
func (r *Router) busier(a, b *worker) bool {
	x, y := r.load(a), r.load(b)
	return x > y || x == y && r.rng.IntN(2) == 0
}

// load is how busy a worker is for its size, and pace how its latencies compare with those of all workers.
func (r *Router) load(w *worker) float64 {
	return (1 + float64(len(w.outs)) + w.others) * r.paceOf(w) / (r.size(w) * r.ripeness(w))
}

func (r *Router) paceOf(w *worker) float64 {
	return 1 + w.pace*math.Exp(-(r.now-w.paceAt).Seconds()/r.set.KeepAlive.Seconds())
}

// room reports whether a worker may be sent this request and has room for it.
func (r *Router) room(q *request, w *worker) bool {
	return r.usable(w) && float64(len(w.outs)-w.loads) < w.limit && r.now >= w.full &&
		r.maySend(q, w) && !q.failedAt(w) && !r.shuns(q, w)
}

// errsOf is the share of a worker's late answers that are errors. It fades: that they have ceased is told by
// nothing but new calls.
func (r *Router) errsOf(w *worker) float64 {
	return w.errs * math.Exp(-(r.now-w.errsAt).Seconds()/r.set.KeepAlive.Seconds())
}

func (r *Router) failed(w *worker) { w.errs, w.errsAt = r.errsOf(w)*(1-errsWeight)+errsWeight, r.now }

// shuns reports whether a worker is not to have this request: it answers errors, and nothing could be tried
// after one. Others go there still, show when it is well again, and are tried elsewhere.
func (r *Router) shuns(q *request, w *worker) bool {
	return q.class.Effect == Unsafe && r.well > 0 && r.errsOf(w) > errsMost
}

func (r *Router) limitStart() float64 { return max(2, callsThere/float64(r.set.Schedulers)) }

// hashOrder is the order of the workers for a function, the same at every scheduler (rendezvous hashing). A
// worker comes first for as many functions as its size warrants.
func (r *Router) hashOrder(f *function) []*worker {
	if f.version == r.version {
		return f.order
	}
	f.version, f.order = r.version, f.order[:0]
	key := make(map[*worker]float64, len(r.list))
	for _, w := range r.list {
		if w.State == Ready {
			h := fnv.New64a()
			h.Write([]byte(f.name + "\x00" + w.ID))
			x := h.Sum64() // FNV mixes its last bytes badly: finish as SplitMix64 does
			x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
			x = (x ^ x>>27) * 0x94d049bb133111eb
			key[w] = -r.size(w) / math.Log((float64((x^x>>31)>>11)+0.5)/(1<<53))
			f.order = append(f.order, w)
		}
	}
	slices.SortFunc(f.order, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(key[b], key[a]), cmp.Compare(a.ID, b.ID))
	})
	return f.order
}

// homes are the workers that a function is spread over: the first of its hash order, as many as its part of
// the calls warrants, so that all schedulers choose much the same. Where answers came slowly while others had
// calls for it there, the next in the order takes part too: a crowded worker looks crowded to all.
func (r *Router) homes(f *function) []*worker {
	order, home := r.hashOrder(f), []*worker(nil)
	// Few calls prove little: what chance alone could have brought is left out.
	n := f.calls * r.fade(f.lastCall)
	part := max(0, n-math.Sqrt(n)) / max(r.allCalls*r.fade(r.lastCall), 1)
	k := max(1, int(math.Ceil(part*widthMore*float64(len(order)))))
	for _, w := range order[:min(len(order), k+walkDepth)] {
		if len(home) < k && !r.left(f.pair(w)) {
			home = append(home, w)
		}
	}
	return home
}

// left reports whether a worker is left for another because of what other schedulers send there; slow and
// ageing ones too. Where all are slow it gains nothing, hence the pace; few schedulers know by own counts.
func (r *Router) left(p *pair) bool {
	pace := r.paceOf(p.w)
	return p.company*r.theirs() >= 1 && pace*r.lat > crowdAims*r.leastAim &&
		pace > crowdPace+crowdOwn*(1-r.theirs())
}

func (r *Router) fade(at time.Duration) float64 {
	return math.Exp(-(r.now - at).Seconds() / (widthTau * r.set.KeepAlive.Seconds()))
}

// theirs is the part of what happens at the workers that other schedulers cause.
func (r *Router) theirs() float64 { return 1 - 1/float64(r.set.Schedulers) }

// ---- estimates ----

func (r *Router) function(e Request) *function {
	f := r.funcs[e.Function]
	if f == nil {
		f = &function{name: e.Function, meanAt: r.now, lastCall: r.now, slowAt: r.now}
		f.mean = r.set.Classes[e.Class].Aim.Seconds()
		r.funcs[e.Function] = f
		r.funcList = append(r.funcList, f)
	}
	f.class, f.lanes = e.Class, max(e.Lanes, 1)
	f.told = cmp.Or(max(0, e.LoadTime), f.told)
	f.calls, f.lastCall = f.calls*r.fade(f.lastCall)+1, r.now
	r.allCalls, r.lastCall = r.allCalls*r.fade(r.lastCall)+1, r.now
	return f
}

func (f *function) pair(w *worker) *pair {
	for _, p := range f.pairs {
		if p.w == w {
			return p
		}
	}
	p := &pair{w: w, copies: 1}
	f.pairs = append(f.pairs, p)
	return p
}

// isWarm reports whether a copy is believed to stand: it was found within the least keep-alive, in this
// life of the worker.
func (r *Router) isWarm(p *pair) bool {
	return p.warm && p.life == p.w.life && p.w.State == Ready && r.now-p.at < r.set.KeepAlive
}

// service is the running mean of a function's served latencies, in seconds. It starts at the class aim and
// decays back to it while none come.
func (r *Router) service(f *function) float64 {
	aim := r.set.Classes[f.class].Aim.Seconds()
	return aim + (f.mean-aim)*math.Exp(-(r.now-f.meanAt).Seconds()/r.set.KeepAlive.Seconds())
}

// loadTime stands in for the time of a load, in seconds: as told, else the function's slowest recent
// latency, else the class aim.
func (r *Router) loadTime(f *function) float64 {
	if f.told == 0 && f.slowest > 0 && r.now-f.slowAt < 2*r.set.KeepAlive {
		return f.slowest
	}
	return cmp.Or(f.told, r.set.Classes[f.class].Aim).Seconds()
}

// overShare takes a request out of its tenant's share and reports whether the share was spent.
func (r *Router) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(r.set.Tenants) || r.set.Tenants[tenant].PerSecond <= 0 {
		return false
	}
	b, rate := &r.tenants[tenant], r.set.Tenants[tenant].PerSecond/float64(r.set.Schedulers)
	b.level = min(max(rate, 1), b.level+rate*(r.now-b.at).Seconds()) // a share under one call is saved up
	b.at = r.now
	spent := b.level < 1
	if !spent {
		b.level--
	}
	return spent
}

// ---- the rules: one choke point each ----

// maySend is the choke point of rules 2 to 4 for attempts: whether this request may go to this worker now.
func (r *Router) maySend(q *request, w *worker) bool {
	if q.done || r.now >= q.end || len(q.attempts) >= r.set.MaxAttempts || w.State != Ready ||
		q.out > 0 && !r.set.SecondCopies {
		return false
	}
	a := q.mayHaveRun()
	if a != nil && (q.class.Effect == Unsafe || q.class.Effect == Keyed &&
		(r.now-a.sent >= q.class.MemorySpan-r.set.Tick || !sameGroup(q.class.Scope, a.w, w))) {
		return false
	}
	return r.coldRoom(w)
}

func sameGroup(s Scope, a, b *worker) bool {
	return s == ScopeAll || s == ScopeZone && a.Zone == b.Zone || s == ScopeCell && a.Cell == b.Cell
}

// mayHaveRun is the first attempt that is not known never to have run.
func (q *request) mayHaveRun() *attempt {
	for _, a := range q.attempts {
		if !a.proved {
			return a
		}
	}
	return nil
}

// hopeful reports whether some further attempt could be allowed at all.
func (r *Router) hopeful(q *request) bool {
	a := q.mayHaveRun()
	if len(q.attempts) >= r.set.MaxAttempts || a == nil || q.class.Effect == Safe {
		return len(q.attempts) < r.set.MaxAttempts
	}
	return q.class.Effect == Keyed && r.now-a.sent < q.class.MemorySpan-r.set.Tick &&
		slices.ContainsFunc(r.list, func(w *worker) bool {
			return w.State == Ready && sameGroup(q.class.Scope, a.w, w)
		})
}

// coldRoom keeps a cold worker's budget: in each window that could tip it, this scheduler sends no more than
// its share of what the worker can do, guessed from what warm workers answer this scheduler.
func (r *Router) coldRoom(w *worker) bool {
	if !r.isCold(w) {
		return true
	}
	if r.now >= w.quotaTill {
		// Shares under one call would add up if rounded: each scheduler draws whether it has one, and
		// what it leaves unused lapses, or all savings could come at once.
		most := coldMargin * r.set.TipMultiple * r.set.TipFor.Seconds()
		budget := most * r.ripeness(w) * r.size(w) * r.perWeight
		w.quota = int(budget + r.rng.Float64())
		w.quotaTill = r.now + r.set.TipFor
	}
	return w.quota > 0
}

// ripeness is the share of its capacity that a worker can be counted on for.
func (r *Router) ripeness(w *worker) float64 {
	if !r.isCold(w) {
		return 1
	}
	return r.set.ColdShare + (1-r.set.ColdShare)*max(0, (r.now-w.Started).Seconds()/r.set.ColdFor.Seconds())
}

// send is the only place that starts an attempt.
func (r *Router) send(q *request, w *worker, warm bool) bool {
	if !r.maySend(q, w) {
		return false
	}
	p := q.fn.pair(w)
	a := &attempt{q: q, n: len(q.attempts), w: w, p: p, sent: r.now, cost: r.service(q.fn), cold: !warm}
	aim := q.class.Aim.Seconds()
	patience := min(max(overdueAims*aim, overdueMeans*a.cost), aim)
	if a.cold {
		patience += overdueLoads * r.loadTime(q.fn)
		if p.life != w.life || !p.loading {
			p.life, p.warm, p.copies, p.loading = w.life, false, 1, true
		}
	}
	a.late = r.now + seconds(patience)
	q.attempts = append(q.attempts, a)
	q.out++
	p.out++
	w.outs = append(w.outs, a)
	if a.cold {
		w.loads++
	} else {
		r.outWork += a.cost
	}
	if r.isCold(w) {
		w.quota--
	}
	if w.suspect {
		w.tries++
		w.tryAt = r.now + trialAfter<<min(w.tries, 3)
	}
	r.act(Send{q.ID, w.ID, max(q.end-r.now-r.set.Tick, time.Millisecond)})
	return true
}

// finish is the only place that ends a request unserved: with a refusal if that is known to be harmless,
// and a failure otherwise.
func (r *Router) finish(q *request) {
	if q.done {
		return
	}
	a := q.mayHaveRun()
	if a == nil || q.class.Effect == Safe || q.class.Effect == Keyed && q.class.Scope == ScopeAll {
		r.act(Refuse{q.ID, r.comeBack()})
	} else {
		r.act(Fail{q.ID})
	}
	r.close(q)
}

// comeBack is the advice that goes with a refusal: when what is ahead now will be done with, at the most what
// clients follow. With no usable worker that is not known, and it is the most.
func (r *Router) comeBack() time.Duration {
	if !r.set.HonoursRetry {
		return 0
	}
	ahead := r.outWork
	for _, h := range r.held {
		ahead += r.service(h.fn)
	}
	if r.lanes == 0 {
		return r.set.MaxRetryAfter
	}
	return min(max(seconds(ahead/r.lanes), beat), r.set.MaxRetryAfter)
}

// close marks a request as answered; it is forgotten when its last attempt has ended. What is still out is
// called off: nobody waits for it, and where workers heed that, it makes room for others.
func (r *Router) close(q *request) {
	for _, a := range q.attempts {
		if !q.done && !a.ended && r.set.CanCancel {
			r.act(Cancel{q.ID, a.n})
		}
	}
	q.done = true
	if q.out == 0 {
		delete(r.requests, q.ID)
	}
}

// order is the only place that orders a load. All orders with a count above 0 are rationed.
func (r *Router) order(w *worker, f *function) {
	if !r.set.CanLoad || w.State != Ready || f.pair(w).ordered {
		return
	}
	if r.set.LoadWindow > 0 {
		// A call may have come up to a tick before its batch: those near the window's edge are left out.
		old := func(t time.Duration) bool { return r.now-t > r.set.LoadWindow }
		edge := func(t time.Duration) bool { return r.now-t > r.set.LoadWindow-r.set.Tick-beat }
		r.orders, r.calls = slices.DeleteFunc(r.orders, old), slices.DeleteFunc(r.calls, edge)
		if float64(len(r.orders)+1) > r.set.LoadsFree+r.set.LoadsPerCall*float64(len(r.calls)) {
			return
		}
		r.orders = append(r.orders, r.now)
	}
	f.pair(w).ordered = true
	r.act(Load{w.ID, f.name, 1})
}

// ---- what answers teach ----

func (r *Router) answered(w *worker) {
	if w.lastAnswer, w.breaks = r.now, 0; w.suspect {
		w.suspect, w.tries, w.limit = false, 0, max(limitMin, min(w.limit, 2))
	}
}

// ended takes in how an attempt ended, and holds the request again if it may be tried once more.
func (r *Router) ended(e AttemptEnd) {
	q := r.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].ended {
		return
	}
	a := q.attempts[e.Attempt]
	w, p, f := a.w, a.p, q.fn
	a.ended = true
	q.reached = q.reached || e.Outcome != Unreached && e.Outcome != Unsent
	a.proved = e.Outcome == Shed || e.Outcome == Unreached || e.Outcome == Unsent || e.Outcome == NotLoaded
	q.out--
	p.out--
	w.outs = slices.DeleteFunc(w.outs, func(b *attempt) bool { return b == a })
	if a.cold {
		w.loads--
	} else if r.outWork -= a.cost; r.outWork < 1e-9 {
		r.outWork = 0
	}
	p.loading = p.loading && !(a.cold && p.out == 0)
	if e.Report != nil && e.Report.InFlight >= 0 {
		w.others += workerWeight * (max(0, e.Report.InFlight-float64(len(w.outs))) - w.others)
	}
	switch e.Outcome {
	case Served:
		r.learn(a, e)
	case Shed:
		// A warm call met a full queue, a cold one perhaps a want of memory: the worker, or just new loads
		// there, is left alone for part of a service time, doubling, or held calls use up their attempts.
		r.answered(w)
		w.sheds = min(w.sheds+1, 4)
		pause := r.now + seconds(r.service(f)/shedPauses)<<w.sheds
		if w.noLoads = max(w.noLoads, pause); !a.cold {
			w.full = max(w.full, pause)
			w.limit = max(limitMin, w.limit*limitCut)
		}
	case NotLoaded, Errored:
		r.answered(w)
		if e.Outcome == Errored && f.served { // a function that no worker knows tells nothing of this one
			r.failed(w)
		}
		if e.Outcome == NotLoaded || e.Warmth == LoadFailed {
			p.warm, p.loading = false, false
		}
	case TimedOut:
		r.missed(a, aloneMore)
	case Cancelled:
		if a.rescued { // the other was answered first
			r.missed(a, 1)
		}
	case Reset:
		// A connection that broke says little of its worker: one answer that cannot be read ends it too. If
		// the process died, the next connection is refused, and nothing has run there. A worker that breaks
		// time and again with no answer between is ill all the same.
		if w.brokeAt < r.now { // what was lost with one connection counts once
			w.breaks++
		}
		if w.brokeAt = r.now; w.breaks >= breaksMost {
			r.doubt(w)
		}
	case Unreached:
		// The process died or cannot be reached: what it held is gone with it.
		w.life++
		r.doubt(w)
	}
	switch {
	case e.Closed || q.done:
		r.close(q)
	case q.streams && q.out == 0:
		r.finish(q)
	case q.out == 0:
		r.hold(q) // release ends it if it is too late for another attempt
	}
}

// learn takes in a served answer.
func (r *Router) learn(a *attempt, e AttemptEnd) {
	w, p, f := a.w, a.p, a.q.fn
	r.answered(w)
	lat := cmp.Or(e.Latency, r.now-a.sent).Seconds()
	if p.life != w.life {
		p.copies = 1
	}
	p.life, p.warm, p.at, p.loading = w.life, true, r.now, false
	w.sheds, f.served = 0, true
	w.errs, w.errsAt = r.errsOf(w)*(1-errsWeight), r.now
	if !r.isCold(w) {
		r.served++
	}
	if lat > f.slowest || r.now-f.slowAt > 2*r.set.KeepAlive {
		f.slowest, f.slowAt = lat, r.now
	}
	if e.Warmth > FoundWarm || e.Warmth == WarmthUnknown && a.cold {
		return
	}
	if e.Company >= 0 {
		p.company += workerWeight * (float64(e.Company) - p.company)
		p.copies = max(1, (e.Company+f.lanes)/f.lanes)
	}
	r.lat = cmp.Or(r.lat, lat)
	w.pace, w.paceAt = r.paceOf(w)+workerWeight*(lat/r.lat-r.paceOf(w))-1, r.now
	r.lat += fleetWeight * (lat - r.lat)
	f.mean, f.meanAt = r.service(f)+meanWeight*(lat-r.service(f)), r.now
	aim := a.q.class.Aim.Seconds()
	switch {
	case lat > limitAims*aim:
		w.limit = max(limitMin, w.limit*limitCut)
	case lat < limitAims/2*aim && float64(len(w.outs)+1) >= w.limit/2:
		w.limit = min(limitMax, w.limit+1/w.limit)
	}
}

func (r *Router) loaded(e LoadEnd) {
	w, f := r.workers[e.Worker], r.funcs[e.Function]
	if w == nil || f == nil {
		return
	}
	p := f.pair(w)
	if p.ordered = false; e.Outcome == Served && e.Copies > 0 {
		p.warm, p.life, p.at, p.copies = true, w.life, r.now, e.Copies
	}
}

// ---- health ----

// usable reports whether a worker may get work: a suspect one only a single trial at a time.
func (r *Router) usable(w *worker) bool {
	return w.State == Ready && (!w.suspect || len(w.outs) == 0 && r.now >= w.tryAt)
}

// doubt makes a worker suspect: it gets nothing but trials until it answers.
func (r *Router) doubt(w *worker) {
	if !w.suspect {
		w.suspect, w.tries, w.tryAt = true, 0, r.now+trialAfter
	}
}

// look is the regular look at what waits and what is overdue.
func (r *Router) look() {
	if r.askAgain > 0 && r.now >= r.askAgain {
		r.askAgain = 0
		r.act(Subscribe{true})
	}
	for _, w := range r.list {
		r.watch(w)
	}
	if gap := (r.now - r.servedAt).Seconds(); gap >= 1 {
		size := 0.0
		for _, w := range r.list {
			if w.State == Ready && !r.isCold(w) {
				size += r.size(w)
			}
		}
		if size > 0 {
			rate := r.served / gap / size
			r.perWeight = cmp.Or(r.perWeight, rate)
			r.perWeight += meanWeight * (rate - r.perWeight)
		}
		r.served, r.servedAt = 0, r.now
		r.tidy()
	}
}

// size is a worker's size, for comparison with others; 1 where sizes are not told.
func (r *Router) size(w *worker) float64 {
	if r.set.WeightsTold && w.Weight > 0 {
		return w.Weight
	}
	return 1
}

// isCold reports whether a worker has started so lately that it can do only part of its work.
func (r *Router) isCold(w *worker) bool { return w.Started > 0 && r.now-w.Started < r.set.ColdFor }

// watch looks for a worker that takes work and answers nothing: two attempts overdue and no answer since the
// older went out; one alone may be a heavy request. Covers cut links, hangs and lost machines. Harm: a very
// slow worker loses its traffic until a trial is answered. What is out there is tried elsewhere.
func (r *Router) watch(w *worker) {
	overdue := 0
	for _, a := range w.outs {
		if r.now >= a.late && w.lastAnswer < a.sent {
			overdue++
		}
	}
	if overdue >= 2 {
		r.doubt(w)
	}
	ill := w.State == Gone || w.suspect
	for _, a := range w.outs {
		switch {
		case a.rescued:
		case ill && (w.State == Gone || r.now >= a.late || overdue >= 2):
			r.rescue(a, false)
		case !ill && r.now >= a.late && w.lastAnswer > a.sent && r.alone > 0 && r.busy <= spillMost:
			// A departure: the answer to one call may be lost where others get theirs. Where that was seen
			// lately, a few are tried elsewhere too, at a copy that stands and while lanes are free. Harm: a
			// heavy call runs twice.
			if r.rescue(a, true); a.rescued {
				r.alone--
			}
		}
	}
}

// missed takes in that the answer to a call never came, though its worker answered others.
func (r *Router) missed(a *attempt, more int) {
	if w := a.w; !w.suspect && w.lastAnswer > a.sent {
		r.alone = min(r.alone+more, aloneMost)
		r.failed(w)
	}
}

// rescue gives an attempt up for another elsewhere, where the class allows one; with beside only for one
// beside it where a copy stands.
func (r *Router) rescue(a *attempt, beside bool) {
	q := a.q
	if q.done || q.streams || q.out > 1 || !r.hopeful(q) || q.class.Effect == Unsafe {
		return
	}
	if !r.set.SecondCopies && r.set.CanCancel && !beside {
		a.rescued = true
		r.act(Cancel{q.ID, a.n})
	} else if r.set.SecondCopies {
		w, warm := r.pick(q)
		a.rescued = w != nil && w != a.w && (warm || !beside) && r.send(q, w, warm)
	}
}

// failedAt reports whether the last attempt went to this worker and may have run: the next goes elsewhere.
func (q *request) failedAt(w *worker) bool {
	n := len(q.attempts)
	return n > 0 && q.attempts[n-1].w == w && !q.attempts[n-1].proved
}

// tidy forgets functions that nobody has called for long and workers that are gone, so that neither pile up:
// new ones come all day.
func (r *Router) tidy() {
	gone := func(w *worker) bool {
		return w.State == Gone && len(w.outs) == 0 && r.now-w.goneAt >= r.set.KeepAlive
	}
	for _, f := range r.funcList {
		f.pairs = slices.DeleteFunc(f.pairs, func(p *pair) bool { return p.out == 0 && gone(p.w) })
	}
	r.list = slices.DeleteFunc(r.list, func(w *worker) bool {
		if gone(w) {
			delete(r.workers, w.ID)
		}
		return gone(w)
	})
	r.funcList = slices.DeleteFunc(r.funcList, func(f *function) bool {
		if r.now-f.lastCall < 5*r.set.KeepAlive ||
			slices.ContainsFunc(f.pairs, func(p *pair) bool { return p.ordered || p.out > 0 }) ||
			slices.ContainsFunc(r.held, func(q *request) bool { return q.fn == f }) {
			return false
		}
		delete(r.funcs, f.name)
		return true
	})
}

// ---- the list of workers ----

func (r *Router) follow(e WorkerList) {
	if e.Kind == ListFailed {
		r.askAgain = r.now + time.Second
		return
	}
	r.version++
	seen := map[string]bool{}
	for _, in := range e.Workers {
		seen[in.ID] = true
		w := r.workers[in.ID]
		if w == nil {
			w = &worker{Worker: in, limit: r.limitStart(), lastAnswer: r.now}
			r.workers[in.ID] = w
			i, _ := slices.BinarySearchFunc(r.list, in.ID,
				func(w *worker, id string) int { return cmp.Compare(w.ID, id) })
			r.list = slices.Insert(r.list, i, w)
			continue
		}
		if in.Started != w.Started && in.Started > 0 {
			// A new start: it is empty and cold, whatever was known of it before.
			w.life++
			w.limit, w.suspect, w.tries, w.others, w.quotaTill = r.limitStart(), false, 0, 0, 0
			w.full, w.noLoads, w.sheds, w.errs = 0, 0, 0, 0
		}
		if in.State == Gone {
			w.goneAt = r.now
			in.Weight, in.Zone, in.Cell, in.Kind, in.Started = w.Weight, w.Zone, w.Cell, w.Kind, w.Started
		}
		w.Worker = in
	}
	for _, w := range r.list {
		if e.Kind != ListChanges && !seen[w.ID] && w.State != Gone {
			w.State, w.goneAt = Gone, r.now
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
