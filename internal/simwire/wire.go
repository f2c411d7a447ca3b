// Package simwire reads and writes the lines of the bench's wire. It translates them to the events and actions
// of package calicohill and back, and decides nothing.
package simwire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"calicohill/internal/config/deployment"
	"calicohill/routing"
)

// PowerOn is the settings of an instance that begins its life.
type PowerOn struct {
	Seed     uint64
	Settings routing.Settings
}

// Item is one event of a batch. Exactly one of PowerOn, Stop and Event is set.
type Item struct {
	Instance int
	PowerOn  *PowerOn
	Stop     bool
	Event    routing.Event
}

// Batch is everything that happens at one moment.
type Batch struct {
	Now    time.Duration
	Number string
	Items  []Item
}

// A SyntaxError tells which line of the input is malformed, and how.
type SyntaxError struct {
	Line    int
	Message string // name of the message
	Err     error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d: message %q: %v", e.Line, e.Message, e.Err)
}

func (e *SyntaxError) Unwrap() error { return e.Err }

// A Decoder reads batches.
type Decoder struct {
	r    *bufio.Reader
	line int
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: bufio.NewReaderSize(r, 1<<16)} }

// Next returns the next batch. It returns io.EOF when the input ends between batches.
func (d *Decoder) Next() (*Batch, error) {
	text, err := d.read()
	if err != nil {
		return nil, err
	}
	f := newFields(text)
	b := &Batch{}
	if f.name != "round" {
		f.fail("expected round")
	}
	b.Now = f.millis()
	b.Number = f.text()
	if _, err := strconv.ParseUint(b.Number, 10, 64); err != nil {
		f.fail("batch number: " + err.Error())
	}
	if err := f.end(); err != nil {
		return nil, d.wrap(f.name, err)
	}
	instance, known := 0, false
	for {
		text, err := d.read()
		if errors.Is(err, io.EOF) {
			return nil, d.wrap("round", errors.New("input ended inside a batch; expected flush"))
		} else if err != nil {
			return nil, err
		}
		f := newFields(text)
		switch f.name {
		case "flush":
			if err := f.end(); err != nil {
				return nil, d.wrap(f.name, err)
			}
			return b, nil
		case "target_instance":
			instance, known = f.integer(), true
			if err := f.end(); err != nil {
				return nil, d.wrap(f.name, err)
			}
			continue
		}
		if !known {
			return nil, d.wrap(f.name, errors.New("event before any target_instance"))
		}
		item, err := d.item(f)
		if err != nil {
			var s *SyntaxError
			if errors.As(err, &s) {
				return nil, err
			}
			return nil, d.wrap(f.name, err)
		}
		item.Instance = instance
		b.Items = append(b.Items, item)
	}
}

func (d *Decoder) read() (string, error) {
	text, err := d.r.ReadString('\n')
	if err == io.EOF && text != "" {
		d.line++
		return "", d.wrap(newFields(text).name, errors.New("line without an end"))
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimSuffix(text, "\n"), nil
}

func (d *Decoder) wrap(name string, err error) error {
	return &SyntaxError{Line: d.line, Message: name, Err: err}
}

func (d *Decoder) item(f *fields) (Item, error) {
	var it Item
	switch f.name {
	case "power_on":
		seed := f.unsigned()
		text := f.rest()
		if f.err != nil {
			return it, f.err
		}
		s, err := deployment.Parse([]byte(text))
		it.PowerOn = &PowerOn{Seed: seed, Settings: s.Settings}
		return it, err
	case "shutdown":
		it.Stop = true
	case "view":
		return d.view(f)
	case "call":
		r := routing.Request{ID: f.text(), Class: f.integer(), Tenant: f.optInteger(0), Function: f.text()}
		r.TimeLeft, r.ExpectedWork = f.millis(), f.optMillis()
		r.MemoryMB, r.Concurrency, r.LoadTime = f.optNumber(0), f.optInteger(0), f.optMillis()
		r.MarkedRetry = f.optInteger(0)&2 != 0
		it.Event = r
	case "first":
		it.Event = routing.StreamStarted{ID: f.text(), Attempt: f.integer(), Worker: f.text(), Latency: f.millis()}
	case "outcome":
		e := routing.AttemptEnded{ID: f.text(), RequestAnswered: f.boolean(), InFlightForFunction: -1}
		info := f.optInteger(0)
		e.Latency, e.Worker, e.Attempt = f.optMillis(), f.text(), f.integer()
		e.Outcome, e.Report = f.outcome(), f.report()
		if info < 0 {
			f.fail("info: negative")
		}
		if w := routing.StartType(info % 8); w <= routing.LoadFailed {
			e.StartType = w
		}
		if e.Outcome == routing.Served || e.Outcome == routing.Shed {
			e.InFlightForFunction = info / 8
		}
		it.Event = e
	case "expired":
		it.Event = routing.ClientCanceled{ID: f.text()}
	case "reminder":
		it.Event = routing.TimerFired{Token: f.unsigned()}
	case "sampled":
		e := routing.ProbeEnded{Outcome: f.outcome(), Worker: f.text()}
		e.Latency, e.Report = f.optMillis(), f.report()
		it.Event = e
	case "brought_up":
		e := routing.LoadEnded{Worker: f.text(), Latency: f.optMillis(), Instances: f.optInteger(0)}
		e.Function, e.Outcome = f.text(), f.outcome()
		it.Event = e
	case "datagram":
		e := routing.PeerMessage{From: f.integer()}
		if t := f.text(); t != "-" {
			data, err := hex.DecodeString(t)
			if err != nil {
				f.fail("bytes: " + err.Error())
			}
			e.Data = data
		}
		it.Event = e
	default:
		return it, errors.New("unknown message")
	}
	return it, f.end()
}

// view reads the head of a list and the entries on the lines after it.
func (d *Decoder) view(f *fields) (Item, error) {
	kind := f.integer()
	f.integer() // the list's version
	n := f.integer()
	if kind < 0 || kind > int(routing.ListFailed) {
		f.fail(fmt.Sprintf("form %d: expected 0 to 3", kind))
	}
	if n < 0 {
		f.fail("records: negative")
	}
	if err := f.end(); err != nil {
		return Item{}, err
	}
	list := routing.WorkerList{Kind: routing.ListKind(kind)}
	for range n {
		text, err := d.read()
		if err != nil {
			return Item{}, fmt.Errorf("list cut short: %w", err)
		}
		m := newFields(text)
		if m.name != "m" {
			m.fail("expected a list entry m")
		}
		w := routing.Worker{Weight: m.optNumber(1)}
		state := m.integer()
		w.ID, w.Kind, w.Zone, w.Cell = m.text(), m.optInteger(0), m.optInteger(0), m.optInteger(0)
		w.State, w.Started = routing.WorkerState(state), m.optMillis()
		if state < 0 || state > int(routing.Draining) {
			m.fail(fmt.Sprintf("readiness %d: expected 0 to 2", state))
		}
		if err := m.end(); err != nil {
			return Item{}, d.wrap(m.name, err)
		}
		list.Workers = append(list.Workers, w)
	}
	return Item{Event: list}, nil
}

// fields takes the values of a line one by one and keeps the first error.
type fields struct {
	name  string
	left  string
	more  bool
	count int
	err   error
}

func newFields(line string) *fields {
	f := &fields{}
	f.name, f.left, f.more = strings.Cut(line, "\t")
	return f
}

func (f *fields) fail(what string) {
	if f.err == nil {
		f.err = errors.New(what)
	}
}

func (f *fields) next() string {
	if !f.more {
		f.fail(fmt.Sprintf("value %d is missing", f.count+1))
		return ""
	}
	var v string
	v, f.left, f.more = strings.Cut(f.left, "\t")
	f.count++
	return v
}

func (f *fields) end() error {
	if f.err == nil && f.more {
		f.fail(fmt.Sprintf("more than the %d values expected", f.count))
	}
	return f.err
}

func (f *fields) rest() string {
	if !f.more {
		f.fail(fmt.Sprintf("value %d is missing", f.count+1))
	}
	f.more = false
	return f.left
}

func (f *fields) text() string {
	v := f.next()
	if v == "" {
		f.fail(fmt.Sprintf("value %d: empty", f.count))
	}
	return v
}

func (f *fields) unsigned() uint64 {
	v := f.next()
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.fail(fmt.Sprintf("value %d: %q: expected a whole number", f.count, v))
	}
	return n
}

func (f *fields) integer() int { return f.parseInt(f.next()) }

func (f *fields) parseInt(v string) int {
	n, err := strconv.Atoi(v)
	if err != nil {
		f.fail(fmt.Sprintf("value %d: %q: expected an integer", f.count, v))
	}
	return n
}

func (f *fields) optInteger(absent int) int {
	if v := f.next(); v != "-" {
		return f.parseInt(v)
	}
	return absent
}

func (f *fields) parseNumber(v string) float64 {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(fmt.Sprintf("value %d: %q: expected a number", f.count, v))
		return 0
	}
	return n
}

func (f *fields) optNumber(absent float64) float64 {
	if v := f.next(); v != "-" {
		return f.parseNumber(v)
	}
	return absent
}

func (f *fields) millis() time.Duration    { return duration(f.parseNumber(f.next())) }
func (f *fields) optMillis() time.Duration { return duration(f.optNumber(0)) }

func (f *fields) boolean() bool {
	v := f.next()
	if v != "0" && v != "1" {
		f.fail(fmt.Sprintf("value %d: %q: expected 0 or 1", f.count, v))
	}
	return v == "1"
}

var outcomes = map[string]routing.Outcome{
	"delivered": routing.Served, "app_error": routing.Errored, "shed": routing.Shed,
	"expired": routing.TimedOut, "dial_failed": routing.ConnectFailed, "dropped": routing.ConnectionReset,
	"revoked": routing.Canceled, "unused": routing.NotSent, "empty": routing.NotLoaded,
}

func (f *fields) outcome() routing.Outcome {
	v := f.next()
	o, ok := outcomes[v]
	if !ok {
		f.fail(fmt.Sprintf("value %d: %q: expected an outcome", f.count, v))
	}
	return o
}

func (f *fields) report() *routing.LoadReport {
	v := f.next()
	if v == "-" || v == "" {
		return nil
	}
	r := &routing.LoadReport{InFlight: -1, QueueLength: -1, Utilization: -1, MemoryHeldFraction: -1, LoadsInProgress: -1}
	for pair := range strings.SplitSeq(v, ",") {
		name, value, ok := strings.Cut(pair, ":")
		if !ok {
			f.fail(fmt.Sprintf("value %d: %q: expected name:value", f.count, pair))
			return nil
		}
		if value == "-" {
			continue
		}
		n := f.parseNumber(value)
		switch name {
		case "inflight":
			r.InFlight = n
		case "queue":
			r.QueueLength = n
		case "util":
			r.Utilization = n
		case "x0":
			r.MemoryHeldFraction = n
		case "x1":
			r.LoadsInProgress = n
		}
	}
	return r
}

func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// An Encoder writes replies.
type Encoder struct{ w *bufio.Writer }

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{w: bufio.NewWriterSize(w, 1<<16)} }

// Instance names the instance that the next actions belong to.
func (e *Encoder) Instance(n int) { e.line("instance", strconv.Itoa(n)) }

// InstanceFailed declares that the decisions of an instance have failed.
func (e *Encoder) InstanceFailed(why string) {
	e.line("give_in", strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(why))
}

// Action writes one action.
func (e *Encoder) Action(a routing.Action) error {
	switch a := a.(type) {
	case routing.Send:
		e.line("try", a.ID, millis(a.Timeout), a.Worker)
	case routing.Cancel:
		e.line("recall", a.ID, strconv.Itoa(a.Attempt))
	case routing.Reject:
		e.line("say_no", a.ID, millis(a.RetryAfter))
	case routing.Fail:
		e.line("surrender", a.ID)
	case routing.SetTimer:
		e.line("arm", millis(a.After), strconv.FormatUint(a.Token, 10))
	case routing.Probe:
		e.line("ping", a.Worker)
	case routing.Load:
		e.line("pin_up", a.Worker, a.Function, strconv.Itoa(a.Instances))
	case routing.Unload:
		e.line("unmount", a.Worker, a.Function)
	case routing.Subscribe:
		on := "0"
		if a.On {
			on = "1"
		}
		e.line("observe", on)
	case routing.FetchList:
		e.line("resolve")
	default:
		return fmt.Errorf("wire: no message for action %T", a)
	}
	return nil
}

// Flush closes the reply to the batch with that number.
func (e *Encoder) Flush(number string) error {
	e.line("ok", number)
	return e.w.Flush()
}

// line leaves write errors to Flush, which reports the first of them.
func (e *Encoder) line(parts ...string) {
	for i, p := range parts {
		if i > 0 {
			e.w.WriteByte('\t')
		}
		e.w.WriteString(p)
	}
	e.w.WriteByte('\n')
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}
