// Package experiment measures fleets of real schedulers under faults: ColdStart, Gossip, Match and Soak. An experiment
// injects faults, offers load, checks the fleet against its invariants, and returns a report.
package experiment
