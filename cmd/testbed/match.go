package main

import (
	"errors"

	"calicohill/internal/testbed/experiment"

	"github.com/spf13/cobra"
)

// matchCommand returns the match command.
func matchCommand() *cobra.Command {
	var experiment experiment.Match
	var asJSON bool
	cmd := &cobra.Command{
		Use: "match", Short: "Measure the cost of rules: isolated evaluations, and requests through a scheduler",
		Example: "  bin/testbed match --rules 1000 --rate 1900 --hostile --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if experiment.Rules < 1 || experiment.Rules > 10000 || experiment.Rate <= 0 || experiment.Seconds < 1 {
				return errors.New("match needs 1 to 10000 rules, a positive rate and at least 1 second")
			}
			if err := setDefaultProgram(&experiment.Program); err != nil {
				return err
			}
			experiment.Progress = progressWriter(cmd)
			result, err := experiment.Run(cmd.Context())
			if err != nil {
				return err
			}
			return printReport(cmd.OutOrStdout(), asJSON, result)
		},
	}
	addCommonFlags(cmd, &experiment.Program, &asJSON)
	flags := cmd.Flags()
	flags.IntVar(&experiment.Rules, "rules", 1000, "number of rules in the operator's file")
	flags.Float64Var(&experiment.Rate, "rate", 190, "requests per second")
	flags.BoolVar(&experiment.Hostile, "hostile", false, "requests with texts of the maximum length, many parameters and near misses of prefixes")
	flags.Float64Var(&experiment.Seconds, "seconds", 8, "duration of each run in seconds")
	flags.Uint64Var(&experiment.Seed, "seed", 1, "random seed of the load")
	return cmd
}
