// Command calicohill runs the scheduler. The scheduler receives requests from clients over FastCGI, selects a worker
// for each request with package routing, and forwards the request to that worker's node agent. It gets the workers from
// the endpoint list service. Subcommands validate configuration, evaluate rules, manage the keys of a fleet, and call a
// running scheduler.
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
	exitUsage   = 2 // the command line is invalid
)

// usageError reports an invalid command line. The program exits with exitUsage.
type usageError struct{ err error }

// Error implements error.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.err }

func main() {
	root := rootCommand()
	root.SetArgs(convertLegacyFlags(os.Args[1:]))
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
	root.Use, root.Short = "calicohill", "A scheduler for short function calls, which go to workers that have the function loaded"
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(runCommand(), checkCommand(), callCommand(), keyCommand(), matchCommand(), versionCommand())
	return root
}

// convertLegacyFlags converts the flags of the program's first version, which began with a single dash, to flags with
// two dashes.
func convertLegacyFlags(args []string) []string {
	converted := make([]string, len(args))
	for i, arg := range args {
		converted[i] = arg
		name, _, _ := strings.Cut(arg, "=")
		switch name {
		case "-config", "-name", "-listen":
			converted[i] = "-" + arg
		}
	}
	return converted
}

// noArguments returns an error if there are positional arguments.
func noArguments(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unknown command or argument %q; see %s --help", args[0], cmd.CommandPath())}
	}
	return nil
}

// exactArguments requires one positional argument per name. The names appear in the error.
func exactArguments(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usageError{fmt.Errorf("%s takes %s, but got %d arguments", cmd.CommandPath(), strings.Join(names, " "), len(args))}
		}
		return nil
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version, commit and Go version that this program was built from", Args: noArguments,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "calicohill", buildVersion()) },
	}
}

// buildVersion returns the module version, the commit (if the build recorded one) and the Go version.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown unknown"
	}
	revision := ""
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = " " + setting.Value
		}
	}
	return info.Main.Version + revision + " " + info.GoVersion
}
