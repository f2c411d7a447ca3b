package main

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"calicohill/internal/frontend/fastcgi"

	"github.com/spf13/cobra"
)

const (
	maxConcurrentCalls = 32
	minCallBudget      = time.Millisecond
	defaultCallBudget  = 2 * time.Second
	// answerMargin is added to a request's budget for the client's timeout, since the scheduler may use the whole
	// budget.
	answerMargin = time.Second
	// connectRetryInterval is the pause between attempts to reach a scheduler that is not ready yet.
	connectRetryInterval = 20 * time.Millisecond
	healthCheckTimeout   = time.Second

	requestIDBytes      = 8
	idempotencyKeyBytes = 16

	// printedPrecision is the precision of printed durations.
	printedPrecision = 10 * time.Microsecond
)

// outcomeUnanswered is the outcome of a request without a reply. It complements the outcomes of package fastcgi.
const outcomeUnanswered fastcgi.Outcome = "unanswered"

// caller sends requests as the options of the call command specify.
type caller struct {
	address        string // host:port of the scheduler
	function       string
	idempotencyKey string // shared by all requests; "" for a random key per request
	body           string // "-" to read standard input
	spec           string // properties of the function, such as its memory
	budget         time.Duration
	wait           time.Duration // maximum wait for the scheduler to become ready; 0 to try once
	count          int
	concurrency    int
}

func callCommand() *cobra.Command {
	var options caller
	cmd := &cobra.Command{
		Use: "call CLASS", Short: "Call a function through a running scheduler",
		Long: "Call sends requests of a class over FastCGI and prints the replies. With --body - the body is read from\n" +
			"standard input. It exits with 0 if every request was served, and with 1 otherwise.",
		Example: "  calicohill call consulta --to 127.0.0.1:5050 --body hello\n" +
			"  calicohill call registro-horas --count 1000 --at-a-time 16",
		Args: exactArguments("CLASS"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return options.run(cmd.Context(), args[0], cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.address, "to", "127.0.0.1:5050", "`ADDRESS` of the scheduler")
	flags.StringVar(&options.function, "function", "7f3a9c21e0b4d655", "the function to call, 16 `HEX` digits")
	flags.StringVar(&options.idempotencyKey, "key", "", "idempotency `KEY` of all requests (default a random one for each)")
	flags.StringVar(&options.spec, "spec", "memory_mb:512;lanes:2", "`PROPERTIES` of the function: memory of an instance, concurrent requests (lanes) of an instance")
	flags.StringVar(&options.body, "body", "", "`TEXT` of the body; - for standard input")
	flags.DurationVar(&options.budget, "budget", defaultCallBudget, "timeout of each request")
	flags.DurationVar(&options.wait, "wait", 0, "maximum time to wait for the scheduler to become ready")
	flags.IntVar(&options.count, "count", 1, "number of requests")
	flags.IntVar(&options.concurrency, "at-a-time", 1, "maximum number of requests in flight, up to 32")
	return cmd
}

// callResult is the outcome of one request.
type callResult struct {
	reply fastcgi.Reply
	took  time.Duration
	err   error // set if there is no reply
}

// outcome returns how the request ended.
func (r *callResult) outcome() fastcgi.Outcome {
	if r.err != nil {
		return outcomeUnanswered
	}
	return r.reply.Outcome()
}

// run sends the requests and prints their results. The error reports how many requests were not served, or why none was
// sent.
func (c *caller) run(ctx context.Context, class string, out io.Writer) error {
	if err := c.validate(); err != nil {
		return usageError{fmt.Errorf("call: %w", err)}
	}
	body, err := c.readBody()
	if err != nil {
		return err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	client, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer closeClient(client)

	started := time.Now()
	results := c.callAll(ctx, client, class, body)
	took := time.Since(started)
	if c.count == 1 {
		if err := printResult(out, &results[0]); err != nil {
			return err
		}
	} else {
		printSummary(out, results, took)
	}
	notServed := 0
	for i := range results {
		if results[i].outcome() != fastcgi.OutcomeServed {
			notServed++
		}
	}
	if notServed > 0 {
		return fmt.Errorf("%d of %d requests were not served", notServed, c.count)
	}
	return nil
}

// validate returns an error for the first option that is out of range.
func (c *caller) validate() error {
	switch {
	case c.count < 1:
		return fmt.Errorf("--count %d: must be at least 1", c.count)
	case c.concurrency < 1 || c.concurrency > maxConcurrentCalls:
		return fmt.Errorf("--at-a-time %d: must be between 1 and %d", c.concurrency, maxConcurrentCalls)
	case c.budget < minCallBudget:
		return fmt.Errorf("--budget %v: must be at least %v", c.budget, minCallBudget)
	default:
		return nil
	}
}

// readBody returns the request body from the command line or from standard input.
func (c *caller) readBody() ([]byte, error) {
	if c.body != "-" {
		return []byte(c.body), nil
	}
	body, err := io.ReadAll(os.Stdin)
	if err != nil {
		return nil, fmt.Errorf("standard input: %w", err)
	}
	return body, nil
}

// callAll sends all requests, with at most c.concurrency in flight, and returns their results in order.
func (c *caller) callAll(ctx context.Context, client *fastcgi.Client, class string, body []byte) []callResult {
	results := make([]callResult, c.count)
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(c.concurrency, c.count) {
		wg.Go(func() {
			for i := range next {
				results[i] = c.call(ctx, client, class, body)
			}
		})
	}
	for i := range results {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

// call sends one request and waits for its reply.
func (c *caller) call(ctx context.Context, client *fastcgi.Client, class string, body []byte) callResult {
	started := time.Now()
	request := fastcgi.Request{
		Path: "/rpc/" + class, ID: randomHex(requestIDBytes), Function: c.function,
		IdempotencyKey: c.idempotencyKey, Budget: c.budget, Spec: c.spec, Body: body,
	}
	if request.IdempotencyKey == "" {
		request.IdempotencyKey = randomHex(idempotencyKeyBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.budget+answerMargin)
	defer cancel()
	reply, err := client.Do(ctx, request)
	return callResult{reply: reply, took: time.Since(started), err: err}
}

// printResult prints the reply to a single request. The error reports why there is no reply.
func printResult(out io.Writer, result *callResult) error {
	if result.err != nil {
		return fmt.Errorf("no answer: %w", result.err)
	}
	reply := result.reply
	fmt.Fprintf(out, "%s, status %d, %v", reply.Outcome(), reply.Status, result.took.Round(printedPrecision))
	if reply.RetryAfter > 0 {
		fmt.Fprintf(out, ", retry after %v", reply.RetryAfter)
	}
	fmt.Fprintf(out, ", %d bytes\n", len(reply.Body))
	if len(reply.Body) > 0 {
		fmt.Fprintf(out, "%s\n", bytes.TrimRight(reply.Body, "\n"))
	}
	return nil
}

// printSummary prints the number of requests by outcome, and the latencies of the answered requests.
func printSummary(out io.Writer, results []callResult, took time.Duration) {
	outcomes := map[fastcgi.Outcome]int{}
	var latencies []time.Duration
	for i := range results {
		outcomes[results[i].outcome()]++
		if results[i].err == nil {
			latencies = append(latencies, results[i].took)
		}
	}
	fmt.Fprintf(out, "%d requests in %v: %d served, %d refused, %d failed, %d unanswered\n", len(results),
		took.Round(time.Millisecond), outcomes[fastcgi.OutcomeServed], outcomes[fastcgi.OutcomeRejected], outcomes[fastcgi.OutcomeFailed],
		outcomes[outcomeUnanswered])
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		fmt.Fprintf(out, "answered after %v (median), %v (99th percentile), %v (maximum)\n", latencies[n/2].Round(printedPrecision),
			latencies[n*99/100].Round(printedPrecision), latencies[n-1].Round(printedPrecision))
	}
}

// connect connects to the scheduler. With --wait it retries until the scheduler's health check succeeds or the wait is
// over.
func (c *caller) connect(ctx context.Context) (*fastcgi.Client, error) {
	for end := time.Now().Add(c.wait); ; time.Sleep(connectRetryInterval) {
		client, err := fastcgi.Dial(ctx, c.address)
		if err == nil && c.wait != 0 {
			err = c.checkHealth(ctx, client)
		}
		if err == nil {
			return client, nil
		}
		if time.Now().After(end) {
			return nil, err
		}
	}
}

// checkHealth sends a health check to the scheduler. If the scheduler is not ready, checkHealth closes the connection
// and returns an error.
func (c *caller) checkHealth(ctx context.Context, client *fastcgi.Client) error {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	reply, err := client.Do(ctx, fastcgi.Request{Path: "/health", Budget: healthCheckTimeout})
	if err == nil && reply.Outcome() == fastcgi.OutcomeServed {
		return nil
	}
	closeClient(client)
	return cmp.Or(err, fmt.Errorf("the scheduler at %s is not ready", c.address))
}

// closeClient closes a connection that is no longer used. It ignores the error, since no request depends on the
// connection.
func closeClient(client *fastcgi.Client) {
	_ = client.Close()
}

// randomHex returns the given number of random bytes as hexadecimal digits.
func randomHex(bytes int) string {
	random := make([]byte, bytes)
	rand.Read(random) // never returns an error
	return hex.EncodeToString(random)
}
