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

// coldstartOptions is the flags of coldstart.
type coldstartOptions struct {
	experiment experiment.ColdStart
	scenario   string // a name, or a file
	virtual    bool
	asJSON     bool
	plotPath   string
}

// coldstartCommand is the command coldstart.
func coldstartCommand() *cobra.Command {
	options := &coldstartOptions{}
	names := scenario.ColdStartNames()
	cmd := &cobra.Command{
		Use: "coldstart", Short: "Many schedulers at once before a list service and workers with faults",
		Long: "Many schedulers at once before a list service and workers with faults.\n\n" +
			"A scenario is one of " + strings.Join(names, ", ") + ", or a file with a script of the same form.",
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
	flags.StringVar(&experiment.Baseline, "baseline", "", "an earlier build that plays the same first")
	flags.IntVar(&experiment.Instances, "instances", 24, "schedulers")
	flags.IntVar(&experiment.ClaimedSchedulers, "of", 0, "schedulers by the settings; as many as run if not set")
	flags.StringVar(&o.scenario, "scenario", "healthy", "a name, or a `FILE`")
	flags.StringVar(&experiment.Profile, "body", "roomy", "the workers: roomy, or small (few requests at a time, scarce connections)")
	flags.BoolVar(&experiment.Keep, "keep", false, "schedulers keep their list and what they learned over a restart")
	flags.Float64Var(&experiment.Skew, "skew", 0.1, "how uneven the schedulers' fractions of the load are: scheduler i has one in 1 + skew x i")
	flags.BoolVar(&o.virtual, "virtual", false, "the poll planners and the Routers alone, in virtual time")
	flags.StringVar(&o.plotPath, "plot", "", "`FILE`, .svg or .png, for a plot of polls and connections over time")
}

// validate returns an error where the experiment makes no sense.
func (o *coldstartOptions) validate() error {
	experiment := o.experiment
	if experiment.Instances < 1 || experiment.Workers < 1 || experiment.Seconds < 1 || experiment.Rate <= 0 {
		return errors.New("at least 1 instance, 1 worker, 1 second and a rate are needed")
	}
	return nil
}

// parseScenario returns the scenario of that name, or that of a file.
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

// runVirtual runs the simulations of the planners and the Routers.
func (o *coldstartOptions) runVirtual(cmd *cobra.Command) error {
	workers, err := virtual.SimulateWorkers(o.experiment.Instances, o.experiment.Workers, o.experiment.Seed)
	if err != nil {
		return err
	}
	polls := virtual.SimulatePolls([]int{o.experiment.Instances}, o.experiment.Seed)
	return printReport(cmd.OutOrStdout(), o.asJSON, report.VirtualColdStartResult{List: polls, Workers: workers})
}
