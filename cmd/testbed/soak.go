package main

import (
	"errors"
	"fmt"
	"sync"

	"calicohill/internal/testbed/experiment"
	"calicohill/internal/testbed/report"

	"github.com/spf13/cobra"
)

// soakOptions is the flags of soak.
type soakOptions struct {
	experiment experiment.Soak
	seeds      int
	parallel   int
	asJSON     bool
}

// errRulesBroken is the error of a soak in which some rule was broken.
var errRulesBroken = errors.New("soak: rules were broken")

// soakCommand is the command soak.
func soakCommand() *cobra.Command {
	options := &soakOptions{}
	cmd := &cobra.Command{
		Use: "soak", Short: "Faults that overlap, drawn from a seed, and a check that no rule is broken",
		Long: "Faults that overlap, drawn from a seed, and a check that no rule is broken.\n\n" +
			"Every fifth seed has a crowd of clients, every third one clients with short deadlines. A seed that breaks a rule is\n" +
			"printed with its script, which `coldstart --scenario FILE` takes too.",
		Example: "  bin/testbed soak --seed 1 --seeds 50 --json",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	addCommonFlags(cmd, &options.experiment.Program, &options.asJSON)
	flags := cmd.Flags()
	flags.Uint64Var(&options.experiment.Seed, "seed", 1, "the first seed")
	flags.IntVar(&options.seeds, "seeds", 1, "how many seeds are played, one after the other's number")
	flags.IntVar(&options.parallel, "parallel", 1, "how many are played at a time")
	flags.IntVar(&options.experiment.Instances, "schedulers", 4, "schedulers")
	flags.IntVar(&options.experiment.Workers, "workers", 8, "stand-in workers")
	flags.Float64Var(&options.experiment.Seconds, "seconds", 30, "how long each seed is played")
	flags.Float64Var(&options.experiment.Rate, "rate", 60, "requests a second, of all schedulers")
	return cmd
}

// run plays the seeds.
func (o *soakOptions) run(cmd *cobra.Command) error {
	soak := o.experiment
	if o.seeds < 1 || o.parallel < 1 || soak.Instances < 1 || soak.Workers < 1 || soak.Seconds < 1 || soak.Rate <= 0 {
		return errors.New("at least 1 seed, 1 at a time, 1 scheduler, 1 worker, 1 second and a rate are needed")
	}
	if err := setDefaultProgram(&o.experiment.Program); err != nil {
		return err
	}
	results := make([]report.SoakResult, o.seeds)
	errs := make([]error, o.seeds)
	running := make(chan struct{}, o.parallel)
	var players sync.WaitGroup
	progress := progressWriter(cmd)
	for i := range o.seeds {
		seed := o.experiment
		seed.Seed += uint64(i)
		running <- struct{}{}
		players.Go(func() {
			defer func() { <-running }()
			results[i], errs[i] = seed.Run(cmd.Context())
			progress(results[i].Summary())
		})
	}
	players.Wait()
	return errors.Join(append(errs, o.print(cmd, results))...)
}

// print prints the results as JSON, or those that broke a rule with their scripts. The error says that there are some.
func (o *soakOptions) print(cmd *cobra.Command, results []report.SoakResult) error {
	var err error
	for _, result := range results {
		if len(result.RulesBroken) > 0 {
			err = errRulesBroken
		}
		switch {
		case o.asJSON:
			if printErr := printReport(cmd.OutOrStdout(), true, result); printErr != nil {
				return printErr
			}
		case len(result.RulesBroken) > 0:
			fmt.Fprintf(cmd.OutOrStdout(), "seed %d:\n%s", result.Seed, result.Script)
			for _, broken := range result.RulesBroken {
				fmt.Fprintln(cmd.OutOrStdout(), "  broken:", broken)
			}
		}
	}
	return err
}
