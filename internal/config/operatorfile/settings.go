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

// Settings contains the settings of an operator's file.
type Settings struct {
	Log    Log
	State  *State  // nil if the section is missing: state is not saved
	Gossip *Gossip // nil if the section is missing: gossip is disabled
	Rules  []match.Rule
	Pools  []pools.Pool
	Routes []pools.Route
}

// State contains the settings of the state section.
type State struct {
	Snapshot string // path of the file
	Fleet    string
	MaxAge   time.Duration
}

// Log contains the settings of the log section.
type Log struct {
	logging.Settings
	Status string // path of the file; "" if none
}

// Gossip contains the settings of the gossip section.
type Gossip struct {
	Listen                      netip.AddrPort
	Advertise                   netip.AddrPort
	Fleet                       string
	Key                         string   // path of the file
	Authorities                 []string // paths of the files
	Revoked                     string   // path of the file; "" if none
	Seeds                       []netip.AddrPort
	ProbeInterval               time.Duration
	ProbeTimeout                time.Duration
	SuspicionTimeout            time.Duration
	MaxMessagesPerSecond        int // limit on sent messages
	MaxSignatureChecksPerSecond int
	ClockSkew                   time.Duration
	AuthorityOverlap            time.Duration
	MaxByzantine                int     // -1 means the largest number below a third of the members
	MaxEjectedFraction          float64 // fraction of the listed workers
	FaultReportExpiry           time.Duration
}

// Defaults returns the settings that apply without an operator's file.
func Defaults() *Settings {
	return &Settings{Log: Log{Settings: logging.Settings{Level: defaultLevel, Levels: map[string]string{}}}}
}

// Read reads an operator's file. The error has type ParseErrors; every error contains file, line and column.
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

// settingsReader converts a document to Settings. It collects errors that involve several directives or the files that
// directives refer to.
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
	if !r.document.hasSection(sectionState) {
		return nil
	}
	return &State{
		Snapshot: r.document.text(sectionState, "snapshot"),
		Fleet:    r.document.text(sectionState, "fleet"),
		MaxAge:   r.document.duration(sectionState, "max-age"),
	}
}
