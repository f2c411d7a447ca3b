package main

import (
	"errors"

	"calicohill/internal/testbed/experiment"
	"calicohill/internal/testbed/report"
	"calicohill/internal/testbed/virtual"

	"github.com/spf13/cobra"
)

// gossipOptions holds the flags of the gossip command.
type gossipOptions struct {
	experiment experiment.Gossip
	virtual    bool
	asJSON     bool
	plotPath   string
}

// gossipCommand returns the gossip command.
func gossipCommand() *cobra.Command {
	options := &gossipOptions{}
	cmd := &cobra.Command{
		Use: "gossip", Short: "Measure shared fault reports about unresponsive workers, with and without gossip and byzantine members",
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
	flags.IntVar(&experiment.Instances, "instances", 12, "number of schedulers; with --virtual the largest fleet")
	flags.IntVar(&experiment.Byzantine, "hostile", 1, "number of additional byzantine members")
	flags.IntVar(&experiment.Unresponsive, "silent", 0, "number of workers that become unresponsive; 0 means one in twelve")
	flags.BoolVar(&experiment.MeasureFlood, "flood", true, "also measure a flood of forged datagrams")
	flags.BoolVar(&o.virtual, "virtual", false, "simulate only the membership, in virtual time, with fleets from 12 instances up")
	flags.StringVar(&o.plotPath, "plot", "", "with --virtual: write a plot to `FILE`, .svg or .png")
}

// validate returns an error if a flag is out of range.
func (o *gossipOptions) validate() error {
	experiment := o.experiment
	if experiment.Instances < 2 || experiment.Workers < 4 || experiment.Seconds < 1 || experiment.Byzantine < 0 || experiment.Rate <= 0 {
		return errors.New("gossip needs at least 2 instances, 4 workers, 1 second, a positive rate and no negative number of byzantine members")
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

// runVirtual simulates fleets of growing size in virtual time.
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
