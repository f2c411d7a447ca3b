package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"calicohill/internal/testbed/experiment"
	"calicohill/internal/testbed/report"
	"calicohill/internal/testbed/scenario"
	"calicohill/internal/testbed/virtual"

	"github.com/spf13/cobra"
)

// coldstartOptions holds the flags of the coldstart command.
type coldstartOptions struct {
	experiment experiment.ColdStart
	scenario   string // name of a scenario, or path of a script
	virtual    bool
	asJSON     bool
	plotPath   string
}

// coldstartCommand returns the coldstart command.
func coldstartCommand() *cobra.Command {
	options := &coldstartOptions{}
	names := scenario.ColdStartNames()
	cmd := &cobra.Command{
		Use: "coldstart", Short: "Measure a simultaneous start of many schedulers with faults of the list service and workers",
		Long: "Measure a simultaneous start of many schedulers with faults of the list service and workers.\n\n" +
			"A scenario is one of " + strings.Join(names, ", ") + ", or the path of a script in the same format.",
		Example: "  bin/testbed coldstart --instances 300 --workers 60 --scenario rate_limited --baseline ../earlier/bin/calicohill --json\n" +
			"  bin/testbed coldstart --virtual --instances 5000 --json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := options.validate(); err != nil {
				return err
			}
			if options.virtual {
				return options.runVirtual(cmd)
			}
			return options.run(cmd)
		},
	}
	options.addFlags(cmd)
	return cmd
}

// addFlags adds the flags to the command.
func (o *coldstartOptions) addFlags(cmd *cobra.Command) {
	experiment := &o.experiment
	addCommonFlags(cmd, &experiment.Program, &o.asJSON)
	fleetFlags{
		workers: &experiment.Workers, defaultWorkers: 14,
		seconds: &experiment.Seconds, rate: &experiment.Rate, seed: &experiment.Seed,
	}.addTo(cmd)
	flags := cmd.Flags()
	flags.StringVar(&experiment.Baseline, "baseline", "", "path of an earlier build to measure first with the same scenario")
	flags.IntVar(&experiment.Instances, "instances", 24, "number of schedulers")
	flags.IntVar(&experiment.ClaimedSchedulers, "of", 0, "number of schedulers in their settings; 0 means the value of --instances")
	flags.StringVar(&o.scenario, "scenario", "healthy", "name of a scenario, or `FILE` with a script")
	flags.StringVar(&experiment.Profile, "body", "roomy", "worker profile: roomy, or small (low limits of concurrency and connections)")
	flags.BoolVar(&experiment.KeepState, "keep", false, "schedulers keep their endpoint list and learned state across a restart")
	flags.Float64Var(&experiment.Skew, "skew", 0.1, "load skew: scheduler i has a weight of 1 / (1 + skew x i)")
	flags.BoolVar(&o.virtual, "virtual", false, "simulate only the poll planners and the Routers, in virtual time")
	flags.StringVar(&o.plotPath, "plot", "", "write a plot of polls and connections over time to `FILE`, .svg or .png")
}

// validate returns an error if a flag is out of range.
func (o *coldstartOptions) validate() error {
	experiment := o.experiment
	if experiment.Instances < 1 || experiment.Workers < 1 || experiment.Seconds < 1 || experiment.Rate <= 0 {
		return errors.New("coldstart needs at least 1 instance, 1 worker, 1 second and a positive rate")
	}
	return nil
}

// parseScenario returns the scenario with the given name, or parses the script at the given path.
func parseScenario(nameOrPath string) (scenario.Scenario, error) {
	text, ok := scenario.ColdStartScript(nameOrPath)
	if !ok {
		file, err := os.ReadFile(nameOrPath)
		if err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
		text = string(file)
	}
	return scenario.Parse(text)
}

// run runs the experiment with real schedulers.
func (o *coldstartOptions) run(cmd *cobra.Command) error {
	var err error
	if o.experiment.Scenario, err = parseScenario(o.scenario); err != nil {
		return err
	}
	if err := setDefaultProgram(&o.experiment.Program); err != nil {
		return err
	}
	o.experiment.Progress = progressWriter(cmd)
	result, err := o.experiment.Run(cmd.Context())
	if err != nil {
		return err
	}
	if o.plotPath != "" {
		if err := result.Plot(o.plotPath); err != nil {
			return err
		}
	}
	return printReport(cmd.OutOrStdout(), o.asJSON, result)
}

// runVirtual simulates the poll planners and the Routers in virtual time.
func (o *coldstartOptions) runVirtual(cmd *cobra.Command) error {
	workers, err := virtual.SimulateWorkers(o.experiment.Instances, o.experiment.Workers, o.experiment.Seed)
	if err != nil {
		return err
	}
	polls := virtual.SimulatePolls([]int{o.experiment.Instances}, o.experiment.Seed)
	return printReport(cmd.OutOrStdout(), o.asJSON, report.VirtualColdStartResult{List: polls, Workers: workers})
}
