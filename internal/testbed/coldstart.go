package testbed

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// ColdStarts is the scenarios of 'lab coldstart' by name.
var ColdStarts = map[string]string{
	"well":    "0s known full\n0s start 1\n8s tell",
	"empty":   "0s known empty\n0s start 1\n8s tell",
	"old":     "0s drain 0.2\n0s known old\n0s start 1\n8s tell",
	"refused": "0s known full\n0s list refuse\n0s start 1\n10s list well",
	"busy":    "0s known full\n0s list busy\n0s start 1\n10s list well",
	"crowded": "0s drain 0.2\n0s known old\n0s list crowded 0.1\n0s start 1",
	"silent":  "0s known full\n0s start 1\n5s list silent\n19s list well",
	"broken":  "0s known full\n0s start 1\n6s break\n12s break",
	"torn":    "0s known full\n0s start 1\n5s list torn\n5s drain 0.1\n9s list well",
	"roll":    "0s known full\n0s start 1\n5s replace 0.2\n5s roll 0.1 1s\n16s tell",
	"herd":    "0s known full\n0s start 1\n6s kill 0.7\n7s start 1",
	"mute":    "0s known full\n0s start 1\n6s workers mute 0.2\n6s kill 0.7\n7s start 1\n12s workers sound 0.2",
	"cut":     "0s known full\n0s start 1\n6s link cut 1 0.2\n6s kill 0.7\n7s start 1\n12s link whole 1 0.2",
	"cold":    "0s boot 1\n0s known full\n0s start 1",
	"zone":    "0s known full\n0s start 1\n6s link cut 0.3 1\n9s link whole 0.3 1",
	"reborn":  "0s known full\n0s start 1\n6s boot 0.4\n6s kill 0.4\n7s start 1",
	"jammed":  "0s known full\n0s start 1\n6s boot 0.2\n6s jam 4s\n6s kill 0.7\n7s start 1",
	"split":   "0s known full\n0s start 1\n4s talk lossy 0.3\n6s talk cut 0.3\n6s workers mute 0.2\n12s talk whole 1\n14s workers sound 0.2",
	"stopped": "0s known full\n0s start 1\n6s stop 0.5\n11s cont 0.5",
	"slow":    "0s known full\n0s start 1\n5s workers stalls 0.3\n5s list crowded 0.2\n6s drain 0.1\n12s workers sound 0.3",
}

// ColdDay is a fleet's cold start, or another trouble that makes all its schedulers ask at once.
type ColdDay struct {
	Program   string
	Baseline  string // an earlier build to play the same with; "" for none
	Env       []string
	Dir       string // for files; a new one if not set
	Instances int
	Of        int // how many schedulers they are told that there are; 0 for those that there are
	Workers   int
	Scenario  Scenario
	Seconds   float64
	Body      string  // of the workers, by name
	Keep      bool    // schedulers keep their list and what they learned over a restart
	Skew      float64 // of the load; see Load
	Rate      float64 // requests a second, of all
	Seed      uint64
	Say       func(string)
}

// ColdResult is what a ColdDay gave.
type ColdResult struct {
	Program  ColdCourse  `json:"program"`
	Baseline *ColdCourse `json:"baseline,omitempty"`
}

// ColdCourse is what it gave with one build. Times are in milliseconds, shares parts of 1.
type ColdCourse struct {
	PollsPeak     int      `json:"polls_peak_100ms"`          // the most asks within any 100 ms
	PollsEven     float64  `json:"polls_even_100ms"`          // one of each scheduler, spread over the protocol's 2 s
	PollsSent     int      `json:"polls_sent"`                // until each had the last event
	PollsNeeded   int      `json:"polls_needed"`              // one, and one more for each 7 s that it waited
	ConnectsPeak  int      `json:"connects_peak_100ms"`       // at the list service
	Connects      int      `json:"connects"`                  // there, over the day
	Bytes         int      `json:"list_bytes"`                // of lists, over the day
	AllListed     float64  `json:"all_listed_ms"`             // from the last trouble's end until all had asked or got the last event
	Limit         float64  `json:"limit_ms"`                  // what the service's capacity allows at best
	AgentConnects int      `json:"agent_connects_peak_100ms"` // at the worker that saw the most
	Handshakes    float64  `json:"handshakes_per_scheduler"`
	Workers       float64  `json:"workers_per_scheduler"` // that it sent anything
	Homes         float64  `json:"homes_per_scheduler"`   // workers at home in a function that it was asked for: what it has to meet
	Loads         int      `json:"loads"`
	Pushed        int      `json:"workers_pushed_over"`
	ColdMost      float64  `json:"cold_most"`              // that a cold worker was sent, as a share of what it bears
	Crowded       int      `json:"agent_connects_refused"` // over what the workers bear
	Served        float64  `json:"served_share"`
	Asked         int      `json:"asked"`
	Lost          int      `json:"lost"` // no answer at all
	RulesBroken   []string `json:"rules_broken"`
	Late          float64  `json:"machine_late_ms"` // the latest that this machine let the laboratory itself wake

	polls, agents []time.Duration
}

// Run plays the day with the program, and with the baseline if there is one.
func (d ColdDay) Run(ctx context.Context) (r ColdResult, err error) {
	if d.Baseline != "" {
		b := d
		b.Program = d.Baseline
		c, err := b.course(ctx, "baseline")
		if err != nil {
			return r, err
		}
		r.Baseline = &c
	}
	r.Program, err = d.course(ctx, "program")
	return r, err
}

// left is when a worker was told to drain or to be gone, and by which event.
type left struct {
	at    time.Time
	event int
}

func (d ColdDay) course(ctx context.Context, name string) (c ColdCourse, err error) {
	dir, err := os.MkdirTemp(d.Dir, "calicohill-lab-")
	if err != nil {
		return c, err
	}
	has := func(verb string) bool {
		return slices.ContainsFunc(d.Scenario, func(s Step) bool { return s.Verb == verb })
	}
	f := &Fleet{Program: d.Program, Env: d.Env, Dir: dir, Of: d.Of, Linked: has("link"), Sharing: has("talk"), Hubbed: has("talk")}
	f.Body, f.Keep = d.Body, d.Keep
	defer f.end()
	if err := f.Prepare(d.Instances, d.Workers); err != nil {
		return c, err
	}
	began := time.Now()
	day, cancel := context.WithDeadline(ctx, began.Add(time.Duration(d.Seconds*float64(time.Second))))
	defer cancel()
	scripted := make(chan error, 1)
	mark := began // when the last trouble ended
	go func() {
		for _, s := range d.Scenario {
			if !sleep(day, time.Until(began.Add(s.At))) {
				break
			}
			if err := f.do(s, d.Seed); err != nil {
				scripted <- err
				return
			}
			mark = time.Now()
		}
		scripted <- nil
	}()
	late := f.lateness(day)
	tally := f.Offer(day, Load{Rate: d.Rate, Functions: 3 * d.Workers / 2, Skew: cmp.Or(d.Skew, 0.1), Seed: d.Seed})
	if err := <-scripted; err != nil {
		return c, err
	}
	c.Served, c.Asked, c.Lost = tally.Share(), tally.Asked, tally.Lost
	c.count(f, began, mark)
	behind := <-late
	c.Late = float64(behind.Milliseconds())
	c.RulesBroken = f.check(tally, slack+machine+2*behind)
	if most := answerSlack + 2*behind; tally.Over > most {
		c.RulesBroken = append(c.RulesBroken, fmt.Sprintf("an answer came %v after its time", tally.Over.Round(time.Millisecond)))
	}
	for _, in := range f.Instances {
		if text := in.Log.String(); strings.Contains(text, "panic:") || strings.Contains(text, "DATA RACE") {
			c.RulesBroken = append(c.RulesBroken, in.Name+" raced or panicked")
		}
	}
	d.Say(fmt.Sprintf("%-9s served %.4f of %d, at most %d asks and %d connections within 100 ms at the list service, %d at a worker; all listed after %.0f ms; %d rules broken",
		name, c.Served, c.Asked, c.PollsPeak, c.ConnectsPeak, c.AgentConnects, c.AllListed, len(c.RulesBroken)))
	return c, nil
}

// count fills in what reached the list service and the workers.
func (c *ColdCourse) count(f *Fleet, began, mark time.Time) {
	last := len(f.List.Told())
	n := len(f.Instances)
	c.PollsEven, c.Limit = float64(n)/20, 2000
	if f.List.desk.Rate > 0 {
		c.Limit = float64(n) / f.List.desk.Rate * 1000
	}
	has, polls := map[string]time.Time{}, f.List.Polls()
	for _, p := range polls {
		c.polls = append(c.polls, p.At.Sub(began))
		c.Bytes += p.Bytes
		at := p.Answered // with the last event, or asked by one that has it
		switch {
		case p.After == last && (at.IsZero() || at.After(mark)):
			at = p.At
			if at.Before(mark) { // it waits
				at = mark
			}
		case p.Number != last:
			continue
		}
		if had, ok := has[p.From]; !at.Before(mark) && (!ok || at.Before(had)) {
			has[p.From] = at
		}
	}
	for _, p := range polls {
		if at, ok := has[p.From]; p.At.After(mark) && (!ok || !p.At.After(at)) {
			c.PollsSent++
		}
	}
	for _, at := range has {
		c.AllListed = max(c.AllListed, float64(at.Sub(mark).Milliseconds()))
		c.PollsNeeded += 1 + int(at.Sub(mark)/(7*time.Second))
	}
	if len(has) < n {
		c.AllListed = -1 // some never were
	}
	c.PollsPeak = Peak(c.polls, 0)
	times := since(f.List.Accepts(), began)
	c.ConnectsPeak, c.Connects = Peak(times, 0), len(times)
	shakes, pairs := 0, 0
	for _, w := range f.Workers {
		times := since(w.Accepts(), began)
		c.agents = append(c.agents, times...)
		c.AgentConnects = max(c.AgentConnects, Peak(times, 0))
		shakes += len(times)
		if !w.Fell().IsZero() {
			c.Pushed++
		}
		w.mu.Lock()
		c.Crowded += w.refused
		c.ColdMost = max(c.ColdMost, w.most)
		w.mu.Unlock()
		from := map[string]bool{}
		for _, a := range w.Arrivals() {
			from[a.From] = true
			if a.Load {
				c.Loads++
			}
		}
		pairs += len(from)
	}
	starts := 0
	for _, in := range f.Instances {
		starts += in.Count("scheduler started")
	}
	c.Handshakes = float64(shakes) / float64(max(starts, 1))
	c.Homes = float64(met(f.Workers)) / float64(n)
	c.Workers = float64(pairs) / float64(n)
}

// met counts the pairs of a scheduler and a worker that follow from the homes that all schedulers share: one was asked
// for a function which most of all calls of it went to the other for.
func met(workers []*Worker) int {
	at, most, pairs := map[string]map[string]int{}, map[string]string{}, map[linked]bool{}
	for _, w := range workers {
		for _, a := range w.Arrivals() {
			if at[a.Function] == nil {
				at[a.Function] = map[string]int{}
			}
			at[a.Function][w.ID]++
			if most[a.Function] == "" || at[a.Function][w.ID] > at[a.Function][most[a.Function]] {
				most[a.Function] = w.ID
			}
		}
	}
	for _, w := range workers {
		for _, a := range w.Arrivals() {
			pairs[linked{a.From, most[a.Function]}] = true
		}
	}
	return len(pairs)
}

func since(times []time.Time, from time.Time) (list []time.Duration) {
	for _, t := range times {
		list = append(list, t.Sub(from))
	}
	return list
}

// slack is what a rule's time limits are longer by on sockets, machine what one machine may take for the processes of a
// whole fleet on top.
const slack, machine = 50 * time.Millisecond, 150 * time.Millisecond

// answerSlack is by how much an answer may come after its client's time, as in docs: later it counts as lost.
const answerSlack = 500 * time.Millisecond

// lateness measures how late this machine wakes who sleeps, until the context ends: the schedulers were no sooner.
func (f *Fleet) lateness(ctx context.Context) <-chan time.Duration {
	worst := make(chan time.Duration, 1)
	go func() {
		const nap = 5 * time.Millisecond
		most := time.Duration(0)
		for at := time.Now(); sleep(ctx, nap); at = time.Now() {
			most = max(most, time.Since(at)-nap)
			f.late.Store(int64(most))
		}
		worst <- most
	}()
	return worst
}

// check holds the history of a fleet against the rules: nothing new to a worker later than 1 s after its scheduler was
// told that it leaves, at most 4 attempts, certificado never run twice, no cold worker pushed over, an answer to each request.
func (f *Fleet) check(t Tally, slack time.Duration) (broken []string) {
	say := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	if t.Lost > 0 {
		say("%d requests without an answer", t.Lost)
	}
	polls := map[string][]Poll{}
	for _, p := range f.List.Polls() {
		polls[p.From] = append(polls[p.From], p)
	}
	attempts, runs := map[string]int{}, map[string]int{}
	for _, w := range f.Workers {
		if at := w.Fell(); !at.IsZero() {
			say("%s was pushed over while it was cold", w.ID)
		}
		gone, leaves := f.leaving[w]
		for _, a := range w.Arrivals() {
			attempts[a.ID]++
			if a.Class == "certificado" {
				runs[a.ID]++
			}
			if !leaves {
				continue
			}
			// It counts as told once heard, and where the list service was well in time even if it was not.
			told := f.List.counts(gone.at)
			if at := heard(polls[a.From], gone.event); !at.IsZero() && (told.IsZero() || at.Before(told)) {
				told = at
			}
			if told.IsZero() {
				continue
			}
			if at := f.startOf(a.From, a.At); at.After(told) { // of a process that did not run then, with its start
				told = at
			}
			sent := a.At
			if k := f.links[linked{a.From, w.ID}]; k != nil {
				sent = k.sent(a.At)
			}
			if late := sent.Sub(told.Add(time.Second + slack)); late > 0 {
				say("%s sent %s to %s %v too late after its drain", a.From, a.ID, w.ID, late.Round(time.Millisecond))
			}
		}
	}
	for id, n := range attempts {
		if n > 4 {
			say("%d attempts of %s", n, id)
		}
	}
	for id, n := range runs {
		if n > 1 {
			say("certificado %s reached workers %d times", id, n)
		}
	}
	sort.Strings(broken)
	return broken
}

// startOf is when the process of a scheduler that ran at a time had been started.
func (f *Fleet) startOf(name string, at time.Time) (last time.Time) {
	for _, in := range f.Instances {
		if in.Name == name {
			in.Log.mu.Lock()
			defer in.Log.mu.Unlock()
			for _, s := range in.starts {
				if s.Before(at) {
					last = s
				}
			}
		}
	}
	return last
}

// heard is when a scheduler was given an event, by its asks: the last answer with it before an ask that shows it known.
// An answer may go to a connection that was just given up.
func heard(polls []Poll, event int) (at time.Time) {
	for _, p := range polls {
		if p.After >= event {
			if at.IsZero() {
				at = p.At // configured with it
			}
			return at
		}
		if !p.Answered.IsZero() && p.Number >= event {
			at = p.Answered
		}
	}
	return time.Time{}
}

// Plot draws asks at the list service and connections at the workers over time, of both builds. The ending of the
// file's name, .svg or .png, says how.
func (r ColdResult) Plot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Asks and connections", "seconds", "in 100 ms"
	p.Legend.Top = true
	var lines []any
	draw := func(name string, c ColdCourse) {
		for what, times := range map[string][]time.Duration{"asks": c.polls, "connections to workers": c.agents} {
			lines = append(lines, name+": "+what, tenths(times))
		}
	}
	draw("program", r.Program)
	if r.Baseline != nil {
		draw("baseline", *r.Baseline)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return p.Save(20*vg.Centimeter, 11*vg.Centimeter, path)
}

// tenths counts times by tenths of a second.
func tenths(times []time.Duration) plotter.XYs {
	if len(times) == 0 {
		return plotter.XYs{{}}
	}
	points := make(plotter.XYs, slices.Max(times)/(100*time.Millisecond)+1)
	for i := range points {
		points[i].X = float64(i) / 10
	}
	for _, t := range times {
		points[max(t, 0)/(100*time.Millisecond)].Y++
	}
	return points
}
