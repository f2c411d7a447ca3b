package main

import (
	"errors"
	"fmt"
	"sync"

	"calicohill/internal/testbed/experiment"
	"calicohill/internal/testbed/report"

	"github.com/spf13/cobra"
)

// soakOptions holds the flags of the soak command.
type soakOptions struct {
	experiment experiment.Soak
	seeds      int
	parallel   int
	asJSON     bool
}

// errRulesBroken means that some seed broke a rule.
var errRulesBroken = errors.New("soak: rules were broken")

// soakCommand returns the soak command.
func soakCommand() *cobra.Command {
	options := &soakOptions{}
	cmd := &cobra.Command{
		Use: "soak", Short: "Play overlapping random faults and check that no rule is broken",
		Long: "Play overlapping random faults and check that no rule is broken.\n\n" +
			"Every fifth seed has a load surge, every third one clients with short deadlines. A seed that breaks a rule is printed\n" +
			"with its script, which `coldstart --scenario FILE` accepts too.",
		Example: "  bin/testbed soak --seed 1 --seeds 50 --json",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	addCommonFlags(cmd, &options.experiment.Program, &options.asJSON)
	flags := cmd.Flags()
	flags.Uint64Var(&options.experiment.Seed, "seed", 1, "first seed")
	flags.IntVar(&options.seeds, "seeds", 1, "number of consecutive seeds to play")
	flags.IntVar(&options.parallel, "parallel", 1, "number of seeds to play in parallel")
	flags.IntVar(&options.experiment.Instances, "schedulers", 4, "number of schedulers")
	flags.IntVar(&options.experiment.Workers, "workers", 8, "number of stand-in workers")
	flags.Float64Var(&options.experiment.Seconds, "seconds", 30, "duration of each seed in seconds")
	flags.Float64Var(&options.experiment.Rate, "rate", 60, "requests per second to all schedulers together")
	return cmd
}

// run plays the seeds.
func (o *soakOptions) run(cmd *cobra.Command) error {
	soak := o.experiment
	if o.seeds < 1 || o.parallel < 1 || soak.Instances < 1 || soak.Workers < 1 || soak.Seconds < 1 || soak.Rate <= 0 {
		return errors.New("soak needs at least 1 seed, 1 in parallel, 1 scheduler, 1 worker, 1 second and a positive rate")
	}
	if err := setDefaultProgram(&o.experiment.Program); err != nil {
		return err
	}
	results := make([]report.SoakResult, o.seeds)
	errs := make([]error, o.seeds)
	semaphore := make(chan struct{}, o.parallel)
	var plays sync.WaitGroup
	progress := progressWriter(cmd)
	for i := range o.seeds {
		seedRun := o.experiment
		seedRun.Seed += uint64(i)
		semaphore <- struct{}{}
		plays.Go(func() {
			defer func() { <-semaphore }()
			results[i], errs[i] = seedRun.Run(cmd.Context())
			progress(results[i].Summary())
		})
	}
	plays.Wait()
	return errors.Join(append(errs, o.print(cmd, results))...)
}

// print prints all results as JSON, or only the scripts and violations of seeds that broke a rule. It returns errRulesBroken
// if any seed broke a rule.
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
				fmt.Fprintln(cmd.OutOrStdout(), "  broken rule:", broken)
			}
		}
	}
	return err
}
