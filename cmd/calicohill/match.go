package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"calicohill/internal/config/operatorfile"
	"calicohill/internal/rules/match"

	"github.com/spf13/cobra"
)

// matchResult is the printed result of evaluating the rules for one request.
type matchResult struct {
	Class  string            `json:"class"`
	Key    string            `json:"key"`
	Route  string            `json:"route"`
	Labels map[string]string `json:"labels"`
	Rules  []string          `json:"rules"`
	Cost   int               `json:"cost"`
	Limit  int               `json:"limit"`
	Error  string            `json:"error"`
}

// matchOptions holds the options of the match command.
type matchOptions struct {
	platformFile string // defines the request classes; "" for none
	request      string // a single request in the form NAME=VALUE,...
	requestsFile string // one JSON object per line; "-" for standard input
	asJSON       bool
}

func matchCommand() *cobra.Command {
	var options matchOptions
	cmd := &cobra.Command{
		Use: "match FILE", Short: "Evaluate the rules of an operator's file for requests",
		Long: "Match evaluates the rules of a file for one request, or for each line of a file of JSON objects, and prints what\n" +
			"they set. The fields of a request are class, handler, path, method, client, id, once_key, budget, body, memory_mb,\n" +
			"lanes and time; any other name is that of a FastCGI parameter. It exits with 1 if the file or a request is invalid.",
		Example: "  calicohill match calicohill.conf --request class=consulta,handler=7f3a9c21e0b4d655,HTTP_X_CENTRE=zona4\n" +
			"  calicohill match calicohill.conf --config config.json --requests requests.jsonl --json",
		Args: func(cmd *cobra.Command, args []string) error {
			if (options.request == "") == (options.requestsFile == "") {
				return usageError{errors.New("match takes either --request or --requests")}
			}
			return exactArguments("FILE")(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			return options.run(cmd.OutOrStdout(), cmd.ErrOrStderr(), args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.platformFile, "config", "", "the platform's configuration `FILE`, which defines the request classes")
	flags.StringVar(&options.request, "request", "", "one request: `NAME=VALUE,...`")
	flags.StringVar(&options.requestsFile, "requests", "", "`FILE` with one JSON object per line; - for standard input")
	flags.BoolVar(&options.asJSON, "json", false, "print one JSON object per request")
	return cmd
}

// run evaluates the rules of an operator's file for each request and prints the results.
func (o *matchOptions) run(out, warningsOut io.Writer, operatorFile string) error {
	var classes []match.Class
	if o.platformFile != "" {
		var err error
		if classes, err = readClasses(o.platformFile); err != nil {
			return err
		}
	}
	settings, err := operatorfile.Read(operatorFile)
	if err != nil {
		return err
	}
	compiled, err := settings.Compile(classes)
	if err != nil {
		return err
	}
	for _, warning := range compiled.Warnings {
		fmt.Fprintln(warningsOut, "warning:", warning)
	}
	requests, err := o.readRequests()
	if err != nil {
		return err
	}
	results, err := matchRequests(compiled.Rules, requests)
	if err != nil {
		return err
	}
	if o.asJSON {
		return printJSON(out, results)
	}
	return printTable(out, results)
}

// matchRequests evaluates the rules for each request.
func matchRequests(table *match.Table, requests []requestFields) ([]matchResult, error) {
	var results []matchResult
	for _, fields := range requests {
		request, err := fields.request(table.Slots())
		if err != nil {
			return nil, err
		}
		outcome := table.Match(request)
		results = append(results, matchResult{
			Class:  outcome.Class,
			Key:    outcome.Key,
			Route:  outcome.Route,
			Labels: outcome.Labels,
			Rules:  outcome.Rules,
			Cost:   outcome.Cost,
			Limit:  table.Limit(),
			Error:  strings.Join(outcome.Failed, "; "),
		})
	}
	return results, nil
}

// printJSON prints one JSON object per line.
func printJSON(out io.Writer, results []matchResult) error {
	encoder := json.NewEncoder(out)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return err
		}
	}
	return nil
}

// printTable prints one row per result below a header row, with aligned columns.
func printTable(out io.Writer, results []matchResult) error {
	const columnGap = 2
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "class\tkey\troute\tlabels\trules\tcost\tlimit\terror")
	for _, result := range results {
		var labels []string
		for name, value := range result.Labels {
			labels = append(labels, name+"="+value)
		}
		slices.Sort(labels)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", orDash(result.Class), orDash(result.Key), orDash(result.Route),
			orDash(strings.Join(labels, ",")), orDash(strings.Join(result.Rules, ",")), result.Cost, result.Limit,
			orDash(result.Error))
	}
	return table.Flush()
}

// orDash returns text, or a dash if text is empty, so that no column of a row is blank.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
