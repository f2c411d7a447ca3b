package main

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"calicohill/internal/frontend/fastcgi"

	"github.com/spf13/cobra"
)

// caller is what the call command was told.
type caller struct {
	to, function, onceKey, body, spec string
	budget, wait                      time.Duration
	count, at                         int
}

func callCommand() *cobra.Command {
	var c caller
	cmd := &cobra.Command{
		Use: "call CLASS", Short: "Call a function through a running scheduler",
		Long: "Call sends requests of a class over FastCGI and prints what was answered. A body of - is read from\n" +
			"standard input. It ends with 1 unless every request was served.",
		Example: "  calicohill call consulta --to 127.0.0.1:5050 --body hello\n" +
			"  calicohill call registro-horas --count 1000 --at-a-time 16",
		Args: exactly("CLASS"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.run(cmd.Context(), args[0], cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.StringVar(&c.to, "to", "127.0.0.1:5050", "`ADDRESS` of the scheduler")
	f.StringVar(&c.function, "function", "7f3a9c21e0b4d655", "the function, 16 `HEX` digits")
	f.StringVar(&c.onceKey, "key", "", "idempotency `KEY` of all requests; a new one for each if not set")
	f.StringVar(&c.spec, "spec", "memory_mb:512;lanes:2", "further `FIGURES`")
	f.StringVar(&c.body, "body", "", "`TEXT` of the body")
	f.DurationVar(&c.budget, "budget", 2*time.Second, "how long to wait for an answer")
	f.DurationVar(&c.wait, "wait", 0, "how long to wait for the scheduler to be up")
	f.IntVar(&c.count, "count", 1, "how many requests")
	f.IntVar(&c.at, "at-a-time", 1, "how many of them at a time, 32 at most")
	return cmd
}

func (c *caller) run(ctx context.Context, class string, out io.Writer) error {
	if c.count < 1 || c.at < 1 || c.at > 32 || c.budget < time.Millisecond {
		return usageError{errors.New("call: count and at-a-time must be 1 at least, at-a-time 32 at most, budget 1ms at least")}
	}
	body := []byte(c.body)
	if c.body == "-" {
		var err error
		if body, err = io.ReadAll(os.Stdin); err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
	}
	if ctx == nil {
		ctx = context.Background()
	}
	client, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer client.Close()

	type result struct {
		reply fastcgi.Reply
		took  time.Duration
		err   error
	}
	results := make([]result, c.count)
	next := make(chan int)
	var wg sync.WaitGroup
	began := time.Now()
	for range min(c.at, c.count) {
		wg.Go(func() {
			for i := range next {
				sent := time.Now()
				q := fastcgi.Request{
					Path: "/rpc/" + class, ID: randomHex(8), Function: c.function,
					OnceKey: c.onceKey, Budget: c.budget, Spec: c.spec, Body: body,
				}
				if q.OnceKey == "" {
					q.OnceKey = randomHex(16)
				}
				// A little more than the scheduler has: its answer may come with the last of the time.
				ctx, cancel := context.WithTimeout(ctx, c.budget+time.Second)
				r, err := client.Do(ctx, q)
				cancel()
				results[i] = result{r, time.Since(sent), err}
			}
		})
	}
	for i := range results {
		next <- i
	}
	close(next)
	wg.Wait()
	whole := time.Since(began)

	verdicts, times := map[string]int{}, []time.Duration(nil)
	for _, r := range results {
		if r.err != nil {
			verdicts["unanswered"]++
		} else {
			verdicts[r.reply.Verdict()]++
			times = append(times, r.took)
		}
	}
	if c.count == 1 {
		if results[0].err != nil {
			return fmt.Errorf("no answer: %w", results[0].err)
		}
		r := results[0].reply
		fmt.Fprintf(out, "%s, status %d, %v", r.Verdict(), r.Status, results[0].took.Round(10*time.Microsecond))
		if r.RetryAfter > 0 {
			fmt.Fprintf(out, ", come back after %v", r.RetryAfter)
		}
		fmt.Fprintf(out, ", %d bytes\n", len(r.Body))
		if len(r.Body) > 0 {
			fmt.Fprintf(out, "%s\n", bytes.TrimRight(r.Body, "\n"))
		}
	} else {
		slices.Sort(times)
		fmt.Fprintf(out, "%d requests in %v: %d served, %d refused, %d failed, %d unanswered\n", c.count,
			whole.Round(time.Millisecond), verdicts["served"], verdicts["refused"], verdicts["failed"], verdicts["unanswered"])
		if n := len(times); n > 0 {
			fmt.Fprintf(out, "answered after %v (half), %v (99%%), %v (last)\n", times[n/2].Round(10*time.Microsecond),
				times[n*99/100].Round(10*time.Microsecond), times[n-1].Round(10*time.Microsecond))
		}
	}
	if n := c.count - verdicts["served"]; n > 0 {
		return fmt.Errorf("%d of %d requests were not served", n, c.count)
	}
	return nil
}

// connect connects to a scheduler that serves, and waits for one as long as it was told to.
func (c *caller) connect(ctx context.Context) (*fastcgi.Client, error) {
	for end := time.Now().Add(c.wait); ; time.Sleep(20 * time.Millisecond) {
		client, err := fastcgi.Dial(ctx, c.to)
		if err == nil {
			if c.wait == 0 {
				return client, nil
			}
			health, stop := context.WithTimeout(ctx, time.Second)
			var r fastcgi.Reply
			r, err = client.Do(health, fastcgi.Request{Path: "/health", Budget: time.Second})
			stop()
			if err == nil && r.Verdict() == "served" {
				return client, nil
			}
			client.Close()
			err = cmp.Or(err, fmt.Errorf("the scheduler at %s is not ready", c.to))
		}
		if time.Now().After(end) {
			return nil, err
		}
	}
}

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b) // which never fails
	return hex.EncodeToString(b)
}
