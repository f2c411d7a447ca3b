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

// checkOptions holds the options of the check command.
type checkOptions struct {
	platformFile string // "" to check operator's files only
	example      bool   // print an example of an operator's file instead of checking files
	page         bool   // print the reference page of the operator's file instead of checking files
}

func checkCommand() *cobra.Command {
	var options checkOptions
	cmd := &cobra.Command{
		Use: "check FILE...", Short: "Validate operator's files and the platform's configuration",
		Long: "Check reads operator's files as a scheduler would, and prints one line per error in the form\n" +
			"FILE:LINE:COLUMN: directive: reason. It exits with 0 if all files are valid, and with 1 otherwise. With --config\n" +
			"it also validates the platform's configuration and the class names in rules.",
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

// run checks all files, or prints the example or the reference page. The error reports how many files are invalid.
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
	var classes []match.Class // nil without the platform's file: class names in rules are not checked
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

// checkOperatorFile validates an operator's file and prints its warnings. The error lists every fault in the file.
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

// readClasses returns the request classes in the platform's file. The file must contain a listen address, since the
// check and match commands do not read one from the environment.
func readClasses(platformFile string) ([]match.Class, error) {
	platform, err := config.Read(platformFile, "", "")
	if err != nil {
		return nil, err
	}
	return ruleClasses(&platform.Deployment), nil
}
