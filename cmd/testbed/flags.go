package main

import "github.com/spf13/cobra"

// addCommonFlags adds the flags that every command has.
func addCommonFlags(cmd *cobra.Command, program *string, asJSON *bool) {
	flags := cmd.Flags()
	flags.StringVar(program, "program", "", "the scheduler; the one beside this program if not set")
	flags.BoolVar(asJSON, "json", false, "print one JSON object in a line")
}

// fleetFlags is where the flags go that experiments with fleets of schedulers share.
type fleetFlags struct {
	workers        *int
	defaultWorkers int
	seconds        *float64
	rate           *float64
	seed           *uint64
}

// addTo adds the flags to a command.
func (f fleetFlags) addTo(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.IntVar(f.workers, "workers", f.defaultWorkers, "stand-in workers")
	flags.Float64Var(f.seconds, "seconds", 20, "how long each run lasts")
	flags.Float64Var(f.rate, "rate", 240, "requests a second, of all instances")
	flags.Uint64Var(f.seed, "seed", 1, "of load and faults")
}
