package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"calicohill/internal/rules/match"
)

// maxRequestLine is the length of the longest line in a file of requests, in bytes.
const maxRequestLine = 1 << 20

// requestFields are the fields of a request by name, as the match command is given them.
type requestFields map[string]string

// readRequests returns the requests that the options name.
func (o *matchOptions) readRequests() ([]requestFields, error) {
	if o.request != "" {
		fields, err := parseFields(o.request)
		return []requestFields{fields}, err
	}
	if o.requestsFile == "-" {
		return readRequestLines(os.Stdin, o.requestsFile)
	}
	file, err := os.Open(o.requestsFile)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written, so an error loses nothing
	return readRequestLines(file, o.requestsFile)
}

// parseFields parses NAME=VALUE,...
func parseFields(text string) (requestFields, error) {
	fields := requestFields{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" {
			return nil, usageError{fmt.Errorf("request: %q is not of the form NAME=VALUE", field)}
		}
		fields[name] = value
	}
	return fields, nil
}

// readRequestLines reads one JSON object per line; empty lines are skipped. Errors name the file and the line.
func readRequestLines(in io.Reader, name string) ([]requestFields, error) {
	var requests []requestFields
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxRequestLine)
	for number := 1; lines.Scan(); number++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		fields := map[string]string{}
		if err := json.Unmarshal(lines.Bytes(), &fields); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, number, err)
		}
		requests = append(requests, fields)
	}
	return requests, lines.Err()
}

// request returns the request that rules are evaluated for. Slots are the names of the parameters that the rules read.
// The error has every field that can't be parsed.
func (f requestFields) request(slots []string) (*match.Request, error) {
	request := &match.Request{
		Class:          f["class"],
		Handler:        f["handler"],
		Path:           f["path"],
		Method:         f["method"],
		Client:         f["client"],
		IdempotencyKey: f["once_key"],
		ID:             f["id"],
		LocalTime:      time.Now(),
	}
	if request.Path == "" && request.Class != "" {
		request.Path = "/rpc/" + request.Class
	}
	err := errors.Join(
		parseField(f, "budget", &request.TimeLeft, time.ParseDuration),
		parseField(f, "body", &request.BodyBytes, strconv.Atoi),
		parseField(f, "lanes", &request.Concurrency, strconv.Atoi),
		parseField(f, "memory_mb", &request.MemoryMB, parseFloat),
		parseField(f, "time", &request.LocalTime, parseLocalTime),
	)
	for _, name := range slots {
		value, ok := f[name]
		request.Params = append(request.Params, match.Param{Value: value, Present: ok})
	}
	return request, err
}

// parseField parses a field, if the request has it.
func parseField[T any](fields requestFields, name string, into *T, parse func(string) (T, error)) error {
	text, ok := fields[name]
	if !ok {
		return nil
	}
	value, err := parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	*into = value
	return nil
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

func parseLocalTime(text string) (time.Time, error) { return time.Parse(time.DateTime, text) }
