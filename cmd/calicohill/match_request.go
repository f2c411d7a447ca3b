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

// maxRequestLine is the maximum length of a line in a file of requests, in bytes.
const maxRequestLine = 1 << 20

// requestFields maps the names of request fields to their values, as passed to the match command.
type requestFields map[string]string

// readRequests returns the requests from the flag --request or from the file given by --requests.
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
	defer func() { _ = file.Close() }() // read only: an error on close loses no data
	return readRequestLines(file, o.requestsFile)
}

// parseFields parses fields of the form NAME=VALUE,...
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

// readRequestLines reads one JSON object per line and skips empty lines. Errors include the file name and the line
// number.
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

// request converts the fields to the request that the rules are evaluated for. The slots are the names of the FastCGI
// parameters that the rules read. The error lists every field that can't be parsed.
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

// parseField parses a field into a value. It leaves the value unchanged if the request does not have the field.
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
