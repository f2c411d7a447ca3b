// Command calicohill is the scheduler: it takes requests from clients, has the decision module decide where
// each goes, and passes them on to the node agents that the bulletin lists. Further commands check settings and
// call a scheduler that runs.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2 // the command line makes no sense
)

// usageError is an error of the command line.
type usageError struct{ error }

func main() {
	root := rootCommand()
	root.SetArgs(long(os.Args[1:]))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "calicohill:", err)
		if errors.As(err, &usageError{}) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}

func rootCommand() *cobra.Command {
	root := runCommand()
	root.Use, root.Short = "calicohill", "A scheduler for short calls of functions that workers must hold loaded"
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(runCommand(), checkCommand(), callCommand(), keyCommand(), matchCommand(), versionCommand())
	return root
}

// long lets the flags that the program had before it had commands keep their one dash.
func long(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		out[i] = a
		name, _, _ := strings.Cut(a, "=")
		if name == "-config" || name == "-name" || name == "-listen" {
			out[i] = "-" + a
		}
	}
	return out
}

// noArguments rejects arguments.
func noArguments(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s: unknown command or argument %q; see %s --help", cmd.CommandPath(), args[0], cmd.CommandPath())}
	}
	return nil
}

// exactly refuses any other number of arguments.
func exactly(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usageError{fmt.Errorf("%s takes %s", cmd.CommandPath(), strings.Join(names, " "))}
		}
		return nil
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print what this program was built from", Args: noArguments,
		Run: func(cmd *cobra.Command, _ []string) {
			version, goVersion, revision := "unknown", "unknown", ""
			if b, ok := debug.ReadBuildInfo(); ok {
				version, goVersion = b.Main.Version, b.GoVersion
				for _, s := range b.Settings {
					if s.Key == "vcs.revision" {
						revision = " " + s.Value
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "calicohill %s%s %s\n", version, revision, goVersion)
		},
	}
}
