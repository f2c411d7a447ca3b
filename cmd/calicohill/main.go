// Command calicohill is the scheduler: it receives requests from clients over FastCGI, has package routing decide which
// worker each is sent to, and forwards it to that worker's node agent. The workers come from the endpoint list service.
// Further commands check and try out configuration, manage the keys of a fleet, and call a running scheduler.
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

// usageError says that the command line is invalid; the program exits with exitUsage.
type usageError struct{ err error }

// Error returns the reason.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the reason.
func (e usageError) Unwrap() error { return e.err }

func main() {
	root := rootCommand()
	root.SetArgs(doubleDashes(os.Args[1:]))
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

// doubleDashes returns arguments with the flags of the program's first version, which had no commands, in today's form:
// it took them after one dash.
func doubleDashes(args []string) []string {
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

// noArguments rejects arguments.
func noArguments(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unknown command or argument %q; see %s --help", args[0], cmd.CommandPath())}
	}
	return nil
}

// exactArguments requires one argument for each name. Errors quote the names.
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

// buildVersion returns the version of the module, the commit, if the build recorded one, and the version of Go.
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
