package operatorfile

import (
	"errors"
	"io/fs"
	"net/netip"
	"os"
)

// maxKeyMode is the most permissive allowed mode of a key file: only its owner may read it.
const maxKeyMode fs.FileMode = 0o600

// unsetMaxByzantine is the value of Gossip.MaxByzantine if the file does not set it.
const unsetMaxByzantine = -1

// gossip returns the gossip section, or nil if it is missing.
func (r *settingsReader) gossip() *Gossip {
	if !r.document.hasSection(sectionGossip) {
		return nil
	}
	file := r.document
	maxEjectedFraction, _ := file.number(sectionGossip, "leave-out")
	gossip := &Gossip{
		Listen:                      parseAddress(file.text(sectionGossip, "listen")),
		Fleet:                       file.text(sectionGossip, "fleet"),
		Key:                         file.text(sectionGossip, "key"),
		Authorities:                 file.texts(sectionGossip, "authority"),
		Revoked:                     file.text(sectionGossip, "revoked"),
		ProbeInterval:               file.duration(sectionGossip, "probe-every"),
		ProbeTimeout:                file.duration(sectionGossip, "probe-timeout"),
		SuspicionTimeout:            file.duration(sectionGossip, "suspect-for"),
		MaxMessagesPerSecond:        r.gossipCount("messages", 0),
		MaxSignatureChecksPerSecond: r.gossipCount("checks", 0),
		ClockSkew:                   file.duration(sectionGossip, "clock-skew"),
		AuthorityOverlap:            file.duration(sectionGossip, "overlap"),
		MaxByzantine:                r.gossipCount("liars", unsetMaxByzantine),
		MaxEjectedFraction:          maxEjectedFraction,
		FaultReportExpiry:           file.duration(sectionGossip, "forget-after"),
	}
	gossip.Advertise = gossip.Listen
	if advertise := file.text(sectionGossip, "advertise"); advertise != "" {
		gossip.Advertise = parseAddress(advertise)
	}
	for _, seed := range file.texts(sectionGossip, "seed") {
		gossip.Seeds = append(gossip.Seeds, parseAddress(seed))
	}
	r.checkGossip(gossip)
	return gossip
}

// gossipCount returns the value of a Count directive of the gossip section, or fallback if it is not set and has no
// default.
func (r *settingsReader) gossipCount(directive string, fallback int) int {
	if number, isSet := r.document.number(sectionGossip, directive); isSet {
		return int(number)
	}
	return fallback
}

// checkGossip reports conflicts between directives and unusable files, which the parser does not detect.
func (r *settingsReader) checkGossip(gossip *Gossip) {
	if gossip.ProbeTimeout >= gossip.ProbeInterval {
		r.addGossipError("probe-timeout", "must be less than probe-every")
	}
	if address := gossip.Advertise.Addr(); address.IsUnspecified() {
		r.addGossipError("advertise", "peers can't reach the unspecified address %s: use an address of this machine", address)
	}
	for _, directive := range []string{"key", "authority", "revoked"} {
		for _, e := range r.document.occurrences(unnamedKey(sectionGossip), directive) {
			r.checkGossipFile(e)
		}
	}
}

// checkGossipFile checks that a file is a regular file and that a key is readable only by its owner.
func (r *settingsReader) checkGossipFile(e entry) {
	path := e.values[0].text
	info, err := os.Stat(path)
	switch {
	case err != nil:
		r.errors.add(e.position, e.directive, "%v", errors.Unwrap(err))
	case !info.Mode().IsRegular():
		r.errors.add(e.position, e.directive, "%s is not a regular file", path)
	case e.directive == "key" && info.Mode().Perm()&^maxKeyMode != 0:
		r.errors.add(e.position, e.directive, "mode %04o allows others to read the key: 0600 is needed", info.Mode().Perm())
	}
}

// addGossipError adds an error at the position of a directive, or at the section heading if the directive is not
// present.
func (r *settingsReader) addGossipError(directive, format string, args ...any) {
	key := unnamedKey(sectionGossip)
	position := r.document.sections[key].position
	if occurrences := r.document.occurrences(key, directive); len(occurrences) > 0 {
		position = occurrences[0].position
	}
	r.errors.add(position, directive, format, args...)
}

// parseAddress converts an Address, which the parser has already validated.
func parseAddress(text string) netip.AddrPort {
	address, _ := netip.ParseAddrPort(text)
	return address
}
