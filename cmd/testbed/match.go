package main

import (
	"errors"

	"calicohill/internal/testbed/experiment"

	"github.com/spf13/cobra"
)

// matchCommand is the command match.
func matchCommand() *cobra.Command {
	var experiment experiment.Match
	var asJSON bool
	cmd := &cobra.Command{
		Use: "match", Short: "What rules cost: an evaluation by itself, and requests through a scheduler",
		Example: "  bin/testbed match --rules 1000 --rate 1900 --hostile --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if experiment.Rules < 1 || experiment.Rules > 10000 || experiment.Rate <= 0 || experiment.Seconds < 1 {
				return errors.New("1 to 10000 rules, a rate and 1 second are needed")
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
	flags.IntVar(&experiment.Rules, "rules", 1000, "rules in the operator's file")
	flags.Float64Var(&experiment.Rate, "rate", 190, "requests a second")
	flags.BoolVar(&experiment.Hostile, "hostile", false, "the longest legal texts, many parameters, near misses of prefixes")
	flags.Float64Var(&experiment.Seconds, "seconds", 8, "how long each run lasts")
	flags.Uint64Var(&experiment.Seed, "seed", 1, "of the load")
	return cmd
}
