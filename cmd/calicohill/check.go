package main

import (
	"errors"
	"fmt"
	"strings"

	"calicohill/internal/config"
	"calicohill/internal/config/operatorfile"
	"calicohill/internal/rules/match"

	"github.com/spf13/cobra"
)

func checkCommand() *cobra.Command {
	var platform string
	var example, page bool
	cmd := &cobra.Command{
		Use: "check FILE...", Short: "Check operator's files, and the platform's configuration",
		Long: "Check reads operator's files as a scheduler would, and tells of every fault as\n" +
			"FILE:LINE:COLUMN: directive: reason. It ends with 0 where there is none, and with 1 otherwise.",
		Example: "  calicohill check deploy/calicohill.conf\n" +
			"  calicohill check --config example/config.json deploy/calicohill.conf\n" +
			"  calicohill check --example >calicohill.conf",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 && platform == "" && !example && !page {
				return usageError{errors.New("check takes the names of files, or --config")}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			if example {
				fmt.Fprint(out, operatorfile.Example())
				return nil
			}
			if page {
				fmt.Fprint(out, operatorfile.Page())
				return nil
			}
			bad := 0
			var classes []match.Class // not known without the platform's file
			if platform != "" {
				// A file holds no name or address where the environment tells them.
				if cfg, err := config.Read(platform, "", ""); err != nil {
					fmt.Fprintln(out, err)
					bad++
				} else {
					classes = ruleClasses(&cfg.Deployment)
				}
			}
			for _, file := range args {
				set, err := operatorfile.Read(file)
				if err == nil {
					var warnings operatorfile.Faults
					if _, _, warnings, err = set.Compile(classes); len(warnings) > 0 {
						fmt.Fprintf(out, "warning: %s\n", strings.ReplaceAll(warnings.Error(), "\n", "\nwarning: "))
					}
				}
				if err != nil {
					fmt.Fprintln(out, err)
					bad++
				}
			}
			if bad > 0 {
				return fmt.Errorf("%d of the files checked can't be used", bad)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&platform, "config", "", "the platform's `FILE` to check too")
	f.BoolVar(&example, "example", false, "print the commented example of an operator's file")
	f.BoolVar(&page, "page", false, "print the operators' page of the file, in Markdown")
	return cmd
}
