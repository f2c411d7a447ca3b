package simwire

import (
	"encoding/hex"
	"fmt"

	"calicohill/internal/config/deployment"
	"calicohill/routing"
)

// unknownMetric is the value of a metric that is missing from a line or a load report.
const unknownMetric = -1

// eventParsers maps the name of each single-line event message to its parser. A parser must read the values in the
// order of the line. In a composite literal, the fields must therefore be listed in that order, because Go evaluates
// the calls in a literal from left to right.
var eventParsers = map[string]func(*fields) routing.Event{
	"call":       parseRequest,
	"first":      parseStreamStarted,
	"outcome":    parseAttemptEnded,
	"expired":    parseClientCanceled,
	"reminder":   parseTimerFired,
	"sampled":    parseProbeEnded,
	"brought_up": parseLoadEnded,
	"datagram":   parsePeerMessage,
}

// parseInstanceStart parses a seed followed by the settings as JSON, which extend to the end of the line.
func parseInstanceStart(f *fields) (Item, error) {
	seed := f.unsigned()
	text := f.rest()
	if f.err != nil {
		return Item{}, f.err
	}
	settings, err := deployment.Parse([]byte(text))
	return Item{Start: &InstanceStart{Seed: seed, Settings: settings.Settings}}, err
}

// retryFlag is the flag of a request that the client has marked as a retry.
const retryFlag = 2

func parseRequest(f *fields) routing.Event {
	return routing.Request{
		ID:           f.text(),
		Class:        f.integer(),
		Tenant:       f.optionalInteger(),
		Function:     f.text(),
		TimeLeft:     f.millis(),
		ExpectedWork: f.optionalMillis(),
		MemoryMB:     f.optionalNumber(0),
		Concurrency:  f.optionalInteger(),
		LoadTime:     f.optionalMillis(),
		MarkedRetry:  f.optionalInteger()&retryFlag != 0,
	}
}

func parseStreamStarted(f *fields) routing.Event {
	return routing.StreamStarted{
		ID:      f.text(),
		Attempt: f.integer(),
		Worker:  f.text(),
		Latency: f.millis(),
	}
}

// startInfoRadix separates the two values encoded in the start information of a response. The remainder is the start
// type, and the quotient is the number of other requests in flight for the function at the worker.
const startInfoRadix = 8

func parseAttemptEnded(f *fields) routing.Event {
	event := routing.AttemptEnded{InFlightForFunction: unknownMetric}
	event.ID = f.text()
	event.RequestAnswered = f.boolean()
	startInfo := f.optionalInteger()
	event.Latency = f.optionalMillis()
	event.Worker = f.text()
	event.Attempt = f.integer()
	event.Outcome = f.outcome()
	event.Report = f.loadReport()
	if startInfo < 0 {
		f.fail("info: negative")
	}
	if startType := routing.StartType(startInfo % startInfoRadix); startType <= routing.LoadFailed {
		event.StartType = startType
	}
	if event.Outcome == routing.Served || event.Outcome == routing.Shed {
		event.InFlightForFunction = startInfo / startInfoRadix
	}
	return event
}

func parseClientCanceled(f *fields) routing.Event { return routing.ClientCanceled{ID: f.text()} }

func parseTimerFired(f *fields) routing.Event { return routing.TimerFired{Token: f.unsigned()} }

func parseProbeEnded(f *fields) routing.Event {
	return routing.ProbeEnded{
		Outcome: f.outcome(),
		Worker:  f.text(),
		Latency: f.optionalMillis(),
		Report:  f.loadReport(),
	}
}

func parseLoadEnded(f *fields) routing.Event {
	return routing.LoadEnded{
		Worker:    f.text(),
		Latency:   f.optionalMillis(),
		Instances: f.optionalInteger(),
		Function:  f.text(),
		Outcome:   f.outcome(),
	}
}

func parsePeerMessage(f *fields) routing.Event {
	event := routing.PeerMessage{From: f.integer()}
	text := f.text()
	if text == absent {
		return event
	}
	data, err := hex.DecodeString(text)
	if err != nil {
		f.fail("bytes: " + err.Error())
	}
	event.Data = data
	return event
}

// readWorkerList decodes the first line of an endpoint list and the entries on the following lines.
func (d *Decoder) readWorkerList(head *fields) (Item, error) {
	kind := head.integer()
	head.integer() // list version, not used
	count := head.integer()
	if kind < 0 || kind > int(routing.ListFailed) {
		head.fail(fmt.Sprintf("form %d: expected 0 to 3", kind))
	}
	if count < 0 {
		head.fail("records: negative")
	}
	if err := head.end(); err != nil {
		return Item{}, err
	}
	list := routing.WorkerList{Kind: routing.ListKind(kind)}
	for range count {
		line, err := d.readLine()
		if err != nil {
			return Item{}, fmt.Errorf("list cut short: %w", err)
		}
		entry := splitLine(line)
		worker := parseWorker(entry)
		if err := entry.end(); err != nil {
			return Item{}, d.syntaxError(entry.name, err)
		}
		list.Workers = append(list.Workers, worker)
	}
	return Item{Event: list}, nil
}

// parseWorker parses one entry of an endpoint list.
func parseWorker(entry *fields) routing.Worker {
	if entry.name != "m" {
		entry.fail("expected a list entry m")
	}
	var worker routing.Worker
	worker.Weight = entry.optionalNumber(1)
	state := entry.integer()
	worker.ID = entry.text()
	worker.Kind = entry.optionalInteger()
	worker.Zone = entry.optionalInteger()
	worker.Cell = entry.optionalInteger()
	worker.State = routing.WorkerState(state)
	worker.Started = entry.optionalMillis()
	if state < 0 || state > int(routing.Draining) {
		entry.fail(fmt.Sprintf("readiness %d: expected 0 to 2", state))
	}
	return worker
}
