package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// GossipDay is a day on which some workers fall silent, as a fleet that shares its suspicions and one that does not
// meet it.
type GossipDay struct {
	Program   string
	Env       []string
	Instances int
	Hostile   int // members more that lie: they accuse all workers, and later a few that are well
	Workers   int
	Silent    int // workers that fall silent together; 0 means one in twelve, at least 1
	Seconds   float64
	Rate      float64 // requests a second, of all
	Seed      uint64
	Floods    bool // measure a flood too
	Say       func(string)
}

// GossipResult is what a GossipDay gave. Times are in milliseconds, shares parts of 1.
type GossipResult struct {
	Instances      int     `json:"instances"`
	Workers        int     `json:"workers"`
	Hostile        int     `json:"hostile"`
	Seconds        float64 `json:"seconds"`
	Messages       float64 `json:"messages_per_second"` // sent by the worst instance, over the day
	Peak           float64 `json:"messages_peak"`       // the most of any second and instance
	Limit          int     `json:"messages_limit"`      // of any second
	Bytes          float64 `json:"bytes_per_second"`    // sent by the worst instance
	LeftOutByLiar  float64 `json:"left_out_by_liar"`    // worker-seconds: workers that were well, held ill, by instances
	Served         float64 `json:"served_share"`        // with the liars
	ServedHonest   float64 `json:"served_share_without_liar"`
	ServedAlone    float64 `json:"served_share_alone"`
	Lost           int     `json:"lost_to_silent"`
	LostHonest     int     `json:"lost_to_silent_without_liar"`
	LostAlone      int     `json:"lost_to_silent_alone"`
	Notice         float64 `json:"notice_ms"`
	NoticeAlone    float64 `json:"notice_ms_alone"`
	CPUFlooded     float64 `json:"cpu_share_flooded"`   // of a core, more than without the flood
	MemoryFlooded  int     `json:"memory_kb_flooded"`   // grown during the second half of the flood
	CPU            float64 `json:"cpu_share_unflooded"` // of a core, of the same instance without load
	UnheardOfLiars int     `json:"instances_that_unheard_liars"`
}

// course is what one run of a day gave.
type course struct {
	tally           Tally
	lost            int
	notice          float64
	messages, bytes float64
	peak            float64
	leftOut         float64
	unheard         int
	cpu, calm       float64
	grown           int
}

const messagesLimit = 20 // the default of the operator's file

// Run plays the day: shared with liars, shared without, and alone.
func (d GossipDay) Run(ctx context.Context) (GossipResult, error) {
	r := GossipResult{Instances: d.Instances, Workers: d.Workers, Hostile: d.Hostile, Seconds: d.Seconds, Limit: messagesLimit}
	if d.Silent == 0 {
		d.Silent = max(1, d.Workers/12)
	}
	for _, run := range []struct {
		name    string
		sharing bool
		hostile int
		keep    func(course)
	}{
		{"alone", false, 0, func(c course) { r.ServedAlone, r.LostAlone, r.NoticeAlone = c.tally.Share(), c.lost, c.notice }},
		{"shared", true, 0, func(c course) {
			r.ServedHonest, r.LostHonest = c.tally.Share(), c.lost
			r.Messages, r.Bytes, r.Peak, r.Notice = c.messages, c.bytes, c.peak, c.notice
		}},
		{"shared, with liars", true, d.Hostile, func(c course) {
			r.Served, r.Lost, r.LeftOutByLiar, r.UnheardOfLiars = c.tally.Share(), c.lost, c.leftOut, c.unheard
			r.Messages, r.Bytes, r.Peak = max(r.Messages, c.messages), max(r.Bytes, c.bytes), max(r.Peak, c.peak)
			r.Notice = c.notice
		}},
	} {
		c, err := d.course(ctx, run.sharing, run.hostile)
		if err != nil {
			return r, fmt.Errorf("%s: %w", run.name, err)
		}
		run.keep(c)
		d.Say(fmt.Sprintf("%-20s served %.4f of %d, %d requests lost to silent workers, last noticed after %.0f ms, %.1f messages a second",
			run.name, c.tally.Share(), c.tally.Asked, c.lost, c.notice, c.messages))
	}
	if d.Floods {
		c, err := d.flood(ctx)
		if err != nil {
			return r, fmt.Errorf("flood: %w", err)
		}
		r.CPU, r.CPUFlooded, r.MemoryFlooded = c.calm, c.cpu, c.grown
	}
	return r, nil
}

// fleet prepares and starts the schedulers of a day. The caller closes it and removes its folder.
func (d GossipDay) fleet(ctx context.Context, sharing bool) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "calicohill-lab-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Program: d.Program, Env: d.Env, Dir: dir, Sharing: sharing}
	err = f.Prepare(d.Instances, d.Workers)
	for _, in := range f.Instances {
		if err == nil {
			err = in.Start()
		}
	}
	if err == nil {
		err = f.Wait(ctx, 20*time.Second)
	}
	if err == nil && sharing {
		err = f.Joined(ctx, d.Instances, 30*time.Second)
	}
	if err != nil {
		f.end()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) end() {
	f.Close()
	_ = os.RemoveAll(f.Dir) // what can't be removed is left for the system to clean
}

// Joined waits until each instance has said of members-1 others that they are there.
func (f *Fleet) Joined(ctx context.Context, members int, within time.Duration) error {
	for end := time.Now().Add(within); ; {
		missing := ""
		for _, in := range f.Instances {
			if n := len(in.Peers()); n < members-1 {
				missing = fmt.Sprintf("%s knows %d of %d others", in.Name, n, members-1)
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("the members do not find one another: %s\n%s", missing, f.Instances[0].Log)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Peers is the members that an instance's log says are there.
func (in *Instance) Peers() map[string]bool {
	there := map[string]bool{}
	for _, l := range in.Log.Latest() {
		switch l.Text("msg") {
		case "peer alive", "peer suspect":
			there[l.Text("peer")] = true
		case "peer dead", "peer left", "peer removed: its certificate is no longer valid":
			delete(there, l.Text("peer"))
		}
	}
	return there
}

// Count counts the lines of a message in an instance's log.
func (in *Instance) Count(msg string) (n int) {
	for _, l := range in.Log.Lines() {
		if l.Text("msg") == msg {
			n++
		}
	}
	return n
}

func (d GossipDay) course(ctx context.Context, sharing bool, hostile int) (c course, err error) {
	f, err := d.fleet(ctx, sharing)
	if err != nil {
		return c, err
	}
	defer f.end()
	whole := time.Duration(d.Seconds * float64(time.Second))
	day, cancel := context.WithTimeout(ctx, whole)
	defer cancel()
	var liars []*Hostile
	for i := range hostile {
		h, err := f.NewHostile(fmt.Sprintf("liar%d", i))
		if err != nil {
			return c, err
		}
		defer h.Close()
		liars = append(liars, h)
	}
	// The silent ones are chosen by the seed, and fall silent at two tenths of the day, for half of it.
	var silent []*Worker
	for i := range d.Silent {
		silent = append(silent, f.Workers[(int(d.Seed)*7+i*5)%len(f.Workers)])
	}
	var well []string
	for _, w := range f.Workers {
		if !slices.Contains(silent, w) {
			well = append(well, w.ID)
		}
	}
	var from, till time.Time
	schedule := make(chan struct{})
	go func() {
		defer close(schedule)
		if !sleep(day, whole/5) {
			return
		}
		from = time.Now()
		for _, w := range silent {
			w.Set(Mute)
		}
		if !sleep(day, whole/2) {
			return
		}
		till = time.Now()
		for _, w := range silent {
			w.Set(Sound)
		}
	}()
	for _, h := range liars {
		var all []string
		for _, w := range f.Workers {
			all = append(all, w.ID)
		}
		// A part of the day each: all workers, then a few that are well and the same for all liars, to collude.
		h.Accuse(all)
		go func() {
			if sleep(day, whole/4) {
				h.Accuse(well[:min(len(well), max(2, len(f.Workers)/8))])
			}
		}()
	}
	c.tally = f.Offer(day, Load{Rate: d.Rate, Functions: 3 * d.Workers / 2, Skew: 0.3, Seed: d.Seed})
	<-schedule
	var notices []float64
	for _, w := range silent {
		last := from
		for _, a := range w.Arrivals() {
			if a.Fault == Mute {
				c.lost++
				last = a.At
			}
		}
		notices = append(notices, float64(last.Sub(from).Milliseconds()))
	}
	slices.Sort(notices)
	c.notice = notices[len(notices)/2]
	if err := f.Stop(); err != nil {
		return c, err
	}
	for _, in := range f.Instances {
		ill := map[string]time.Time{}
		end := time.Now()
		sick := func(w string, a, b time.Time) float64 {
			return honestly(slices.Contains(well, w), a, b, from, till)
		}
		for _, l := range in.Log.Lines() {
			w := l.Text("worker")
			switch l.Text("msg") {
			case "worker confirmed faulty by peers":
				ill[w] = l.Time()
			case "worker no longer confirmed faulty by peers":
				c.leftOut += sick(w, ill[w], l.Time())
				delete(ill, w)
			case "peer reports ignored for a while":
				c.unheard++
			case "gossip ended":
				c.messages = max(c.messages, l.Number("sent")/l.Number("seconds"))
				c.bytes = max(c.bytes, l.Number("bytes")/l.Number("seconds"))
				c.peak = max(c.peak, l.Number("peak"))
			}
		}
		for w, at := range ill {
			c.leftOut += sick(w, at, end)
		}
	}
	return c, nil
}

// forgetting is how long the word on a worker may outlast its silence.
const forgetting = 10 * time.Second

// honestly is for how many seconds a worker was held ill that was not: one that was well all day, or one that was
// silent, before its silence or after the time that word of it may last.
func honestly(well bool, a, b, from, till time.Time) float64 {
	if well {
		return b.Sub(a).Seconds()
	}
	wrong := 0.0
	if a.Before(from) {
		wrong += from.Sub(a).Seconds()
	}
	if late := till.Add(forgetting); b.After(late) {
		wrong += b.Sub(late).Seconds()
	}
	return wrong
}

// flood measures what a flood of forged datagrams costs one of the instances, beside the same time without it.
func (d GossipDay) flood(ctx context.Context) (c course, err error) {
	f, err := d.fleet(ctx, true)
	if err != nil {
		return c, err
	}
	defer f.end()
	in := f.Instances[0]
	lasts := time.Duration(max(d.Seconds/4, 2) * float64(time.Second))
	measure := func() float64 {
		before, at := in.CPU(), time.Now()
		sleep(ctx, lasts)
		return (in.CPU() - before).Seconds() / time.Since(at).Seconds()
	}
	calm := measure()
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- Flood(in.Gossip, 5000, stop) }()
	flooded := measure()
	held := in.Memory()
	flooded = (flooded + measure()) / 2
	grown := in.Memory() - held
	close(stop)
	if err := <-ended; err != nil {
		return c, err
	}
	c.cpu, c.calm, c.grown = flooded-calm, calm, grown
	d.Say(fmt.Sprintf("%-20s %.3f of a core, %.3f without it; %d kB more", "flood of 5,000/s", flooded, calm, c.grown))
	for _, o := range f.Instances {
		for _, l := range o.Log.Lines() {
			if l.Text("msg") == "peer dead" {
				return c, fmt.Errorf("%s took %s for dead during the flood", o.Name, l.Text("peer"))
			}
		}
	}
	return c, nil
}

// Beside is the scheduler that stands beside the running program.
func Beside() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "calicohill"), nil
}
