// Command testbed runs fleets of real schedulers against stand-ins on loopback, or their cores in virtual time, injects
// faults, and prints what was measured.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/report"

	"github.com/spf13/cobra"
)

func main() { os.Exit(run()) }

// run runs the command and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "testbed", Short: "Experiments with fleets of calicohill", SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(gossipCommand(), matchCommand(), coldstartCommand(), soakCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		return 1
	}
	return 0
}

// setDefaultProgram sets the path of the scheduler to the one beside this program, unless it is set.
func setDefaultProgram(program *string) error {
	if *program != "" {
		return nil
	}
	var err error
	*program, err = process.SchedulerPath()
	return err
}

// progressWriter returns a function that writes lines to where a command's errors go.
func progressWriter(cmd *cobra.Command) func(line string) {
	return func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
}

// printReport prints a report, as one line or indented.
func printReport(out io.Writer, oneLine bool, result report.Report) error {
	encoder := json.NewEncoder(out)
	if !oneLine {
		encoder.SetIndent("", "  ")
	}
	return encoder.Encode(result)
}
