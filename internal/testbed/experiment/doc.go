// Package experiment measures fleets of real schedulers under faults: ColdStart, Gossip and Match. It plays a scenario or a
// fault, offers load, checks what the fleet did against the rules, and returns a report.
package experiment
