package main

import "github.com/spf13/cobra"

// addCommonFlags adds the flags of all commands.
func addCommonFlags(cmd *cobra.Command, program *string, asJSON *bool) {
	flags := cmd.Flags()
	flags.StringVar(program, "program", "", "path of the scheduler; by default the one in the directory of this program")
	flags.BoolVar(asJSON, "json", false, "print the report as one line of JSON")
}

// fleetFlags holds the destinations of the flags that experiments with fleets have in common.
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
	flags.IntVar(f.workers, "workers", f.defaultWorkers, "number of stand-in workers")
	flags.Float64Var(f.seconds, "seconds", 20, "duration of each run in seconds")
	flags.Float64Var(f.rate, "rate", 240, "requests per second to all instances together")
	flags.Uint64Var(f.seed, "seed", 1, "random seed of load and faults")
}
