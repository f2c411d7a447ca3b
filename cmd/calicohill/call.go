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
	// answerMargin is how much longer than a request's budget its answer is waited for: the scheduler may use all of it.
	answerMargin = time.Second
	// connectRetryInterval is the pause between attempts to reach a scheduler that is not ready yet.
	connectRetryInterval = 20 * time.Millisecond
	healthCheckTimeout   = time.Second

	requestIDBytes      = 8
	idempotencyKeyBytes = 16

	// printedPrecision is what times are rounded to.
	printedPrecision = 10 * time.Microsecond
)

// outcomeUnanswered is the outcome of a request without a reply, beside those of fastcgi.
const outcomeUnanswered fastcgi.Outcome = "unanswered"

// caller has the options of the call command.
type caller struct {
	address        string // of the scheduler, host:port
	function       string
	idempotencyKey string // of all requests; "" for a random one for each
	body           string // "-" for standard input
	spec           string // properties of the function, such as its memory
	budget         time.Duration
	wait           time.Duration // for the scheduler to become ready; 0 to try once
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
	flags.DurationVar(&options.wait, "wait", 0, "how long to wait for the scheduler to become ready")
	flags.IntVar(&options.count, "count", 1, "number of requests")
	flags.IntVar(&options.concurrency, "at-a-time", 1, "number of requests in flight at a time, 32 at most")
	return cmd
}

// callResult is the outcome of one request.
type callResult struct {
	reply fastcgi.Reply
	took  time.Duration
	err   error // why there is no reply
}

// outcome returns how the request ended.
func (r *callResult) outcome() fastcgi.Outcome {
	if r.err != nil {
		return outcomeUnanswered
	}
	return r.reply.Outcome()
}

// run sends the requests and prints their results. The error says how many were not served, or why none was sent.
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

// validate returns an error that names the first option that is out of its bounds.
func (c *caller) validate() error {
	switch {
	case c.count < 1:
		return fmt.Errorf("--count %d: must be 1 at least", c.count)
	case c.concurrency < 1 || c.concurrency > maxConcurrentCalls:
		return fmt.Errorf("--at-a-time %d: must be 1 at least and %d at most", c.concurrency, maxConcurrentCalls)
	case c.budget < minCallBudget:
		return fmt.Errorf("--budget %v: must be %v at least", c.budget, minCallBudget)
	default:
		return nil
	}
}

// readBody returns the body of the requests.
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

// callAll sends all requests, as many at a time as the options say, and returns their results in order.
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

// call sends one request and waits for its answer.
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

// printResult prints the reply to the only request; the error says why there is none.
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

// printSummary prints how many requests ended in which way, and the latencies of those that were answered.
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

// connect connects to the scheduler. With the option to wait it retries for that long, until the scheduler's health check
// succeeds.
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

// checkHealth returns an error, and closes the connection, if the scheduler is not ready yet.
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

// closeClient closes a connection that is not used any more, when nothing is left to do about an error.
func closeClient(client *fastcgi.Client) {
	_ = client.Close()
}

// randomHex returns random bytes as hexadecimal digits.
func randomHex(bytes int) string {
	random := make([]byte, bytes)
	rand.Read(random) // never fails
	return hex.EncodeToString(random)
}
