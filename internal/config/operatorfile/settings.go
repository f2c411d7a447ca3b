package operatorfile

import (
	"net/netip"
	"time"

	"calicohill/internal/rules/match"
	"calicohill/internal/rules/pools"
	"calicohill/internal/runtime/logging"
)

const (
	defaultLevel = "info"
	formatJSON   = "json"
)

// Settings is the content of an operator's file.
type Settings struct {
	Log    Log
	State  *State  // nil where the section is missing: no state is saved
	Gossip *Gossip // nil where the section is missing: gossip is off
	Rules  []match.Rule
	Pools  []pools.Pool
	Routes []pools.Route
}

// State is the section state.
type State struct {
	Snapshot string // file
	Fleet    string
	MaxAge   time.Duration
}

// Log is the section log.
type Log struct {
	logging.Settings
	Status string // file; "" if none
}

// Gossip is the section gossip.
type Gossip struct {
	Listen                      netip.AddrPort
	Advertise                   netip.AddrPort
	Fleet                       string
	Key                         string   // file
	Authorities                 []string // files
	Revoked                     string   // file; "" if none
	Seeds                       []netip.AddrPort
	ProbeInterval               time.Duration
	ProbeTimeout                time.Duration
	SuspicionTimeout            time.Duration
	MaxMessagesPerSecond        int // sent
	MaxSignatureChecksPerSecond int
	ClockSkew                   time.Duration
	AuthorityOverlap            time.Duration
	MaxByzantine                int     // -1: the largest number below a third of the members
	MaxEjectedFraction          float64 // fraction of the listed workers
	FaultReportExpiry           time.Duration
}

// Defaults returns the settings where no file is named.
func Defaults() *Settings {
	return &Settings{Log: Log{Settings: logging.Settings{Level: defaultLevel, Levels: map[string]string{}}}}
}

// Read reads an operator's file. The error is ParseErrors, each with file, line and column.
func Read(path string) (*Settings, error) {
	parsed, err := parse(path)
	if err != nil {
		return nil, err
	}
	r := settingsReader{document: parsed}
	settings := &Settings{
		Log:    r.log(),
		State:  r.state(),
		Gossip: r.gossip(),
		Rules:  r.rules(),
		Pools:  r.pools(),
		Routes: r.routes(),
	}
	if len(r.errors) > 0 {
		return nil, r.errors
	}
	return settings, nil
}

// settingsReader turns a document into Settings and collects errors that concern more than one directive, or the files
// that directives name.
type settingsReader struct {
	document *document
	errors   ParseErrors
}

func (r *settingsReader) log() Log {
	log := Defaults().Log
	log.Status = r.document.text(sectionLog, "status")
	log.JSON = r.document.text(sectionLog, "format") == formatJSON
	for _, e := range r.document.entries(sectionLog, "level") {
		if len(e.values) > 1 {
			log.Levels[e.values[1].text] = e.values[0].text
		} else {
			log.Level = e.values[0].text
		}
	}
	return log
}

func (r *settingsReader) state() *State {
	if !r.document.has(sectionState) {
		return nil
	}
	return &State{
		Snapshot: r.document.text(sectionState, "snapshot"),
		Fleet:    r.document.text(sectionState, "fleet"),
		MaxAge:   r.document.duration(sectionState, "max-age"),
	}
}
