// Command testbed is the laboratory: it runs fleets of real schedulers against stand-ins on loopback, or their cores in
// virtual time, makes things fail, and prints what was measured.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"calicohill/internal/testbed"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "testbed", Short: "The laboratory of calicohill", SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(gossipCommand(), matchCommand(), coldstartCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		stop()
		os.Exit(1)
	}
}

func gossipCommand() *cobra.Command {
	var d testbed.GossipDay
	var virtual, asJSON bool
	var plotTo string
	cmd := &cobra.Command{
		Use: "gossip", Short: "Shared suspicions: some workers fall silent, with and without liars, shared and alone",
		Example: "  bin/testbed gossip --instances 12 --hostile 1 --workers 40 --seconds 20 --json\n" +
			"  bin/testbed gossip --virtual --instances 1000 --plot gossip.svg --json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if d.Instances < 2 || d.Workers < 4 || d.Seconds < 1 || d.Hostile < 0 || d.Rate <= 0 {
				return errors.New("at least 2 instances, 4 workers, 1 second and a rate are needed")
			}
			out := cmd.OutOrStdout()
			if virtual {
				sizes := []int{}
				for _, n := range []int{12, 40, 120, 400, 1000, 4000} {
					if n < d.Instances {
						sizes = append(sizes, n)
					}
				}
				r := testbed.Virtual(append(sizes, d.Instances), d.Seed)
				if plotTo != "" {
					if err := testbed.PlotVirtual(r, plotTo); err != nil {
						return err
					}
				}
				return show(out, asJSON, r)
			}
			var err error
			if d.Program == "" {
				if d.Program, err = testbed.Beside(); err != nil {
					return err
				}
			}
			d.Say = func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
			r, err := d.Run(cmd.Context())
			if err != nil {
				return err
			}
			return show(out, asJSON, r)
		},
	}
	f := cmd.Flags()
	f.StringVar(&d.Program, "program", "", "the scheduler; the one beside this program if not set")
	f.IntVar(&d.Instances, "instances", 12, "schedulers; with --virtual the most of them")
	f.IntVar(&d.Hostile, "hostile", 1, "members more that lie")
	f.IntVar(&d.Workers, "workers", 40, "stand-in workers")
	f.IntVar(&d.Silent, "silent", 0, "workers that fall silent; one in twelve if not set")
	f.Float64Var(&d.Seconds, "seconds", 20, "how long each run lasts")
	f.Float64Var(&d.Rate, "rate", 240, "requests a second, of all instances")
	f.Uint64Var(&d.Seed, "seed", 1, "of load and faults")
	f.BoolVar(&d.Floods, "flood", true, "measure a flood of forged datagrams too")
	f.BoolVar(&virtual, "virtual", false, "only the membership, in virtual time, from 12 instances up")
	f.StringVar(&plotTo, "plot", "", "with --virtual: `FILE`, .svg or .png, for a plot")
	f.BoolVar(&asJSON, "json", false, "print one JSON object in a line")
	return cmd
}

func matchCommand() *cobra.Command {
	var d testbed.MatchDay
	var asJSON bool
	cmd := &cobra.Command{
		Use: "match", Short: "What rules cost: an evaluation by itself, and requests through a scheduler",
		Example: "  bin/testbed match --rules 1000 --rate 1900 --hostile --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if d.Rules < 1 || d.Rules > 10000 || d.Rate <= 0 || d.Seconds < 1 {
				return errors.New("1 to 10000 rules, a rate and 1 second are needed")
			}
			var err error
			if d.Program == "" {
				if d.Program, err = testbed.Beside(); err != nil {
					return err
				}
			}
			d.Say = func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
			r, err := d.Run(cmd.Context())
			if err != nil {
				return err
			}
			return show(cmd.OutOrStdout(), asJSON, r)
		},
	}
	f := cmd.Flags()
	f.StringVar(&d.Program, "program", "", "the scheduler; the one beside this program if not set")
	f.IntVar(&d.Rules, "rules", 1000, "rules in the operator's file")
	f.Float64Var(&d.Rate, "rate", 190, "requests a second")
	f.BoolVar(&d.Hostile, "hostile", false, "the longest legal texts, many parameters, near misses of prefixes")
	f.Float64Var(&d.Seconds, "seconds", 8, "how long each run lasts")
	f.Uint64Var(&d.Seed, "seed", 1, "of the load")
	f.BoolVar(&asJSON, "json", false, "print one JSON object in a line")
	return cmd
}

func coldstartCommand() *cobra.Command {
	var d testbed.ColdDay
	var virtual, asJSON bool
	var scenario, plotTo string
	names := slices.Sorted(maps.Keys(testbed.ColdStarts))
	cmd := &cobra.Command{
		Use: "coldstart", Short: "Many schedulers at once before a list service and workers that have trouble",
		Long: "Many schedulers at once before a list service and workers that have trouble.\n\n" +
			"A scenario is one of " + strings.Join(names, ", ") + ", or a file with a script of the same form.",
		Example: "  bin/testbed coldstart --instances 300 --workers 60 --scenario crowded --baseline ../earlier/bin/calicohill --json\n" +
			"  bin/testbed coldstart --virtual --instances 5000 --json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if d.Instances < 1 || d.Workers < 1 || d.Seconds < 1 || d.Rate <= 0 {
				return errors.New("at least 1 instance, 1 worker, 1 second and a rate are needed")
			}
			if virtual {
				workers, err := testbed.PlayWorkers(d.Instances, d.Workers, d.Seed)
				if err != nil {
					return err
				}
				return show(cmd.OutOrStdout(), asJSON, struct {
					List    []testbed.VirtualAsks            `json:"list_service"`
					Workers map[string]testbed.VirtualCourse `json:"workers"`
				}{testbed.PlayAsks([]int{d.Instances}, d.Seed), workers})
			}
			text, ok := testbed.ColdStarts[scenario]
			if !ok {
				b, err := os.ReadFile(scenario)
				if err != nil {
					return fmt.Errorf("scenario: %w", err)
				}
				text = string(b)
			}
			if d.Scenario, err = testbed.ParseScenario(text); err != nil {
				return err
			}
			if d.Program == "" {
				if d.Program, err = testbed.Beside(); err != nil {
					return err
				}
			}
			d.Say = func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
			r, err := d.Run(cmd.Context())
			if err != nil {
				return err
			}
			if plotTo != "" {
				if err := r.Plot(plotTo); err != nil {
					return err
				}
			}
			return show(cmd.OutOrStdout(), asJSON, r)
		},
	}
	f := cmd.Flags()
	f.StringVar(&d.Program, "program", "", "the scheduler; the one beside this program if not set")
	f.StringVar(&d.Baseline, "baseline", "", "an earlier build that plays the same first")
	f.IntVar(&d.Instances, "instances", 24, "schedulers")
	f.IntVar(&d.Of, "of", 0, "how many schedulers they are told that there are; those that there are if not set")
	f.IntVar(&d.Workers, "workers", 14, "stand-in workers")
	f.StringVar(&scenario, "scenario", "well", "a name, or a `FILE`")
	f.Float64Var(&d.Seconds, "seconds", 20, "how long each run lasts")
	f.Float64Var(&d.Rate, "rate", 240, "requests a second, of all instances")
	f.StringVar(&d.Body, "body", "roomy", "the workers: roomy, or small (few requests at a time, scarce connections)")
	f.BoolVar(&d.Keep, "keep", false, "schedulers keep their list and what they learned over a restart")
	f.Float64Var(&d.Skew, "skew", 0.1, "how uneven the schedulers' parts of the load are: scheduler i has one in 1 + skew x i")
	f.Uint64Var(&d.Seed, "seed", 1, "of load and faults")
	f.BoolVar(&virtual, "virtual", false, "the cores that ask and the Routers alone, in virtual time")
	f.StringVar(&plotTo, "plot", "", "`FILE`, .svg or .png, for a plot of asks and connections over time")
	f.BoolVar(&asJSON, "json", false, "print one JSON object in a line")
	return cmd
}

// show prints a result, as one line or for people.
func show(out io.Writer, oneLine bool, result any) error {
	e := json.NewEncoder(out)
	if !oneLine {
		e.SetIndent("", "  ")
	}
	return e.Encode(result)
}
