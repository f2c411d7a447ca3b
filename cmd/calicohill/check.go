package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"calicohill/internal/config"
	"calicohill/internal/config/operatorfile"
	"calicohill/internal/rules/match"

	"github.com/spf13/cobra"
)

// checkOptions has the options of the check command.
type checkOptions struct {
	platformFile string // "" if only operator's files are checked
	example      bool   // print the example instead
	page         bool   // print the operators' page instead
}

func checkCommand() *cobra.Command {
	var options checkOptions
	cmd := &cobra.Command{
		Use: "check FILE...", Short: "Validate operator's files and the platform's configuration",
		Long: "Check reads operator's files as a scheduler would, and reports each error on a line of its own as\n" +
			"FILE:LINE:COLUMN: directive: reason. It exits with 0 if there is none, and with 1 otherwise. With --config\n" +
			"it also validates the platform's configuration, and the classes that rules name.",
		Example: "  calicohill check deploy/calicohill.conf\n" +
			"  calicohill check --config example/config.json deploy/calicohill.conf\n" +
			"  calicohill check --example >calicohill.conf",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 && options.platformFile == "" && !options.example && !options.page {
				return usageError{errors.New("check takes the names of files, or --config")}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error { return options.run(cmd.OutOrStdout(), args) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.platformFile, "config", "", "also validate the platform's configuration `FILE`")
	flags.BoolVar(&options.example, "example", false, "print a commented example of an operator's file instead")
	flags.BoolVar(&options.page, "page", false, "print the reference page of the operator's file in Markdown instead")
	return cmd
}

// run checks all files, or prints what the options ask for instead. The error says how many files are invalid.
func (o *checkOptions) run(out io.Writer, operatorFiles []string) error {
	if o.example {
		fmt.Fprint(out, operatorfile.Example())
		return nil
	}
	if o.page {
		fmt.Fprint(out, operatorfile.Page())
		return nil
	}
	invalid := 0
	var classes []match.Class // without the platform's file they are unknown, and not checked
	if o.platformFile != "" {
		platformClasses, err := readClasses(o.platformFile)
		if err != nil {
			fmt.Fprintln(out, err)
			invalid++
		}
		classes = platformClasses
	}
	for _, file := range operatorFiles {
		if err := checkOperatorFile(out, file, classes); err != nil {
			fmt.Fprintln(out, err)
			invalid++
		}
	}
	if invalid > 0 {
		return fmt.Errorf("invalid files: %d", invalid)
	}
	return nil
}

// checkOperatorFile validates an operator's file and prints its warnings. The error has everything that is invalid.
func checkOperatorFile(out io.Writer, file string, classes []match.Class) error {
	settings, err := operatorfile.Read(file)
	if err != nil {
		return err
	}
	compiled, err := settings.Compile(classes)
	if len(compiled.Warnings) > 0 {
		fmt.Fprintf(out, "warning: %s\n", strings.ReplaceAll(compiled.Warnings.Error(), "\n", "\nwarning: "))
	}
	return err
}

// readClasses returns the request classes in the platform's file. The file is invalid if it has no listen address: the
// commands do not take one from the environment.
func readClasses(platformFile string) ([]match.Class, error) {
	platform, err := config.Read(platformFile, "", "")
	if err != nil {
		return nil, err
	}
	return ruleClasses(&platform.Deployment), nil
}
