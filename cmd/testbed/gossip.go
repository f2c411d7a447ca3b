package main

import (
	"errors"

	"calicohill/internal/testbed/experiment"
	"calicohill/internal/testbed/report"
	"calicohill/internal/testbed/virtual"

	"github.com/spf13/cobra"
)

// gossipOptions is the flags of gossip.
type gossipOptions struct {
	experiment experiment.Gossip
	virtual    bool
	asJSON     bool
	plotPath   string
}

// gossipCommand is the command gossip.
func gossipCommand() *cobra.Command {
	options := &gossipOptions{}
	cmd := &cobra.Command{
		Use: "gossip", Short: "Shared fault reports: some workers become unresponsive, with and without byzantine members, with gossip and without",
		Example: "  bin/testbed gossip --instances 12 --hostile 1 --workers 40 --seconds 20 --json\n" +
			"  bin/testbed gossip --virtual --instances 1000 --plot gossip.svg --json",
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
func (o *gossipOptions) addFlags(cmd *cobra.Command) {
	experiment := &o.experiment
	addCommonFlags(cmd, &experiment.Program, &o.asJSON)
	fleetFlags{
		workers: &experiment.Workers, defaultWorkers: 40,
		seconds: &experiment.Seconds, rate: &experiment.Rate, seed: &experiment.Seed,
	}.addTo(cmd)
	flags := cmd.Flags()
	flags.IntVar(&experiment.Instances, "instances", 12, "schedulers; with --virtual the most of them")
	flags.IntVar(&experiment.Hostile, "hostile", 1, "further members that are byzantine")
	flags.IntVar(&experiment.Silent, "silent", 0, "workers that become unresponsive; one in twelve if not set")
	flags.BoolVar(&experiment.MeasureFlood, "flood", true, "measure a flood of forged datagrams too")
	flags.BoolVar(&o.virtual, "virtual", false, "only the membership, in virtual time, from 12 instances up")
	flags.StringVar(&o.plotPath, "plot", "", "with --virtual: `FILE`, .svg or .png, for a plot")
}

// validate returns an error where the experiment makes no sense.
func (o *gossipOptions) validate() error {
	experiment := o.experiment
	if experiment.Instances < 2 || experiment.Workers < 4 || experiment.Seconds < 1 || experiment.Hostile < 0 || experiment.Rate <= 0 {
		return errors.New("at least 2 instances, 4 workers, 1 second and a rate are needed")
	}
	return nil
}

// run runs the experiment with real schedulers.
func (o *gossipOptions) run(cmd *cobra.Command) error {
	if err := setDefaultProgram(&o.experiment.Program); err != nil {
		return err
	}
	o.experiment.Progress = progressWriter(cmd)
	result, err := o.experiment.Run(cmd.Context())
	if err != nil {
		return err
	}
	return printReport(cmd.OutOrStdout(), o.asJSON, result)
}

// runVirtual runs fleets of growing size in virtual time.
func (o *gossipOptions) runVirtual(cmd *cobra.Command) error {
	sizes := []int{}
	for _, size := range []int{12, 40, 120, 400, 1000, 4000} {
		if size < o.experiment.Instances {
			sizes = append(sizes, size)
		}
	}
	result := virtual.SimulateGossip(append(sizes, o.experiment.Instances), o.experiment.Seed)
	if o.plotPath != "" {
		if err := report.PlotVirtualGossip(result, o.plotPath); err != nil {
			return err
		}
	}
	return printReport(cmd.OutOrStdout(), o.asJSON, result)
}
