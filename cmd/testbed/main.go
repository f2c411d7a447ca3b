// Command testbed runs fleets of real schedulers against stand-ins on loopback, or simulates their cores in virtual time. It
// injects faults and prints a report of the measurements.
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

// run executes the command line and returns the exit code.
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

// setDefaultProgram sets an empty path of the scheduler to the one in the directory of this program.
func setDefaultProgram(program *string) error {
	if *program != "" {
		return nil
	}
	var err error
	*program, err = process.SchedulerPath()
	return err
}

// progressWriter returns a function that writes lines to the command's standard error.
func progressWriter(cmd *cobra.Command) func(line string) {
	return func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
}

// printReport writes a report as JSON, on one line or indented.
func printReport(out io.Writer, oneLine bool, result report.Report) error {
	encoder := json.NewEncoder(out)
	if !oneLine {
		encoder.SetIndent("", "  ")
	}
	return encoder.Encode(result)
}
