package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"calicohill/internal/config"
	"calicohill/internal/config/operatorfile"
	"calicohill/internal/rules/match"

	"github.com/spf13/cobra"
)

// matched is what the rules make of one request, as it is printed.
type matched struct {
	Class  string            `json:"class"`
	Key    string            `json:"key"`
	Route  string            `json:"route"`
	Labels map[string]string `json:"labels"`
	Rules  []string          `json:"rules"`
	Cost   int               `json:"cost"`
	Limit  int               `json:"limit"`
	Error  string            `json:"error"`
}

func matchCommand() *cobra.Command {
	var platform, request, requests string
	var asJSON bool
	cmd := &cobra.Command{
		Use: "match FILE", Short: "Tell what the rules of an operator's file make of requests",
		Long: "Match evaluates the rules of a file for one request, or for each line of a file of JSON objects. Fields of a\n" +
			"request are those that rules read (class, handler, path, method, client, id, once_key, budget, body, memory_mb,\n" +
			"lanes, time); any other name is a parameter's. It ends with 1 where a rule is refused.",
		Example: "  calicohill match calicohill.conf --request class=consulta,handler=7f3a9c21e0b4d655,HTTP_X_CENTRE=zona4\n" +
			"  calicohill match calicohill.conf --config config.json --requests requests.jsonl --json",
		Args: func(cmd *cobra.Command, args []string) error {
			if (request == "") == (requests == "") {
				return usageError{errors.New("match takes either --request or --requests")}
			}
			return exactly("FILE")(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			var classes []match.Class
			if platform != "" {
				cfg, err := config.Read(platform, "", "")
				if err != nil {
					return err
				}
				classes = ruleClasses(&cfg.Deployment)
			}
			set, err := operatorfile.Read(args[0])
			if err != nil {
				return err
			}
			table, _, warnings, err := set.Compile(classes)
			if err != nil {
				return err
			}
			for _, w := range warnings {
				fmt.Fprintln(cmd.ErrOrStderr(), "warning:", w)
			}
			asked, err := readRequests(request, requests)
			if err != nil {
				return err
			}
			var all []matched
			for _, fields := range asked {
				q, err := requestOf(fields, table.Slots())
				if err != nil {
					return err
				}
				got := table.Match(q)
				all = append(all, matched{
					got.Class, got.Key, got.Route, got.Labels, got.Rules, got.Cost, table.Limit(),
					strings.Join(got.Failed, "; "),
				})
			}
			return printMatched(cmd.OutOrStdout(), all, asJSON)
		},
	}
	f := cmd.Flags()
	f.StringVar(&platform, "config", "", "the platform's `FILE`, for the classes of the site")
	f.StringVar(&request, "request", "", "one request: `NAME=VALUE,...`")
	f.StringVar(&requests, "requests", "", "`FILE` with a JSON object a line; - for standard input")
	f.BoolVar(&asJSON, "json", false, "print a JSON object a line")
	return cmd
}

func readRequests(one, file string) (list []map[string]string, err error) {
	if one != "" {
		fields := map[string]string{}
		for part := range strings.SplitSeq(one, ",") {
			name, value, ok := strings.Cut(part, "=")
			if !ok || name == "" {
				return nil, usageError{fmt.Errorf("request: %q is no NAME=VALUE", part)}
			}
			fields[name] = value
		}
		return []map[string]string{fields}, nil
	}
	in := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		fields := map[string]string{}
		if err := json.Unmarshal(lines.Bytes(), &fields); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, n, err)
		}
		list = append(list, fields)
	}
	return list, lines.Err()
}

// requestOf makes a request of fields by name.
func requestOf(fields map[string]string, slots []string) (*match.Request, error) {
	q := &match.Request{
		Class: fields["class"], Handler: fields["handler"], Path: fields["path"], Method: fields["method"],
		Client: fields["client"], OnceKey: fields["once_key"], ID: fields["id"], Local: time.Now(),
	}
	if q.Path == "" && q.Class != "" {
		q.Path = "/rpc/" + q.Class
	}
	var errs []error
	parse := func(name string, into func(string) error) {
		if text, ok := fields[name]; ok {
			if err := into(text); err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", name, err))
			}
		}
	}
	parse("budget", func(s string) (err error) { q.Budget, err = time.ParseDuration(s); return err })
	parse("body", func(s string) (err error) { q.Body, err = strconv.Atoi(s); return err })
	parse("lanes", func(s string) (err error) { q.Lanes, err = strconv.Atoi(s); return err })
	parse("memory_mb", func(s string) (err error) { q.Memory, err = strconv.ParseFloat(s, 64); return err })
	parse("time", func(s string) (err error) { q.Local, err = time.Parse(time.DateTime, s); return err })
	for _, name := range slots {
		var v []string
		if s, ok := fields[name]; ok {
			v = []string{s}
		}
		q.Params = append(q.Params, v)
	}
	return q, errors.Join(errs...)
}

func printMatched(out io.Writer, all []matched, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(out)
		for _, m := range all {
			if err := e.Encode(m); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "class\tkey\troute\tlabels\trules\tcost\tlimit\terror")
	for _, m := range all {
		var labels []string
		for k, v := range m.Labels {
			labels = append(labels, k+"="+v)
		}
		slices.Sort(labels)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", dash(m.Class), dash(m.Key), dash(m.Route),
			dash(strings.Join(labels, ",")), dash(strings.Join(m.Rules, ",")), m.Cost, m.Limit, dash(m.Error))
	}
	return w.Flush()
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
