package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/testbed/wait"
	"calicohill/internal/testbed/workload"
)

// Offer sends load to the instances until the context ends and returns the counts of the results.
func (f *Fleet) Offer(ctx context.Context, load workload.Load) workload.Result {
	total := 0.0
	for i := range f.Instances {
		total += load.Weight(i)
	}
	var mu sync.Mutex // guards result
	var result workload.Result
	var clientsRunning sync.WaitGroup
	for i, instance := range f.Instances {
		server := newWebServer(f, instance, func(reply fastcgi.Reply, err error, took time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			result.Count(reply, err, took, instance.disruptedSince(time.Now().Add(-took-closeRaceWindow)))
		})
		clients := instanceClients{load: load, instance: instance, index: i, rate: load.Rate * load.Weight(i) / total}
		clientsRunning.Go(func() {
			if instance.waitHealthy(ctx) != nil {
				return
			}
			defer server.close()
			clients.run(ctx, server)
		})
	}
	clientsRunning.Wait()
	return result
}

// instanceClients simulates the clients of one instance.
type instanceClients struct {
	load     workload.Load
	instance *Instance
	index    int     // index of the instance
	rate     float64 // requests per second
}

// run sends requests until the context ends.
func (c instanceClients) run(ctx context.Context, server *webServer) {
	rng := rand.New(rand.NewPCG(c.load.Seed, uint64(c.index)))
	functions := workload.NewFunctionDistribution(rng, c.load.Functions)
	start := time.Now()
	due := 0.0 // time of the next request, in seconds since the start
	for {
		due += rng.ExpFloat64() / c.rate
		if !wait.Sleep(ctx, time.Until(start.Add(time.Duration(due*float64(time.Second))))) {
			return
		}
		server.send(ctx, c.request(rng, functions))
	}
}

// request generates a random request.
func (c instanceClients) request(rng *rand.Rand, functions *rand.Zipf) fastcgi.Request {
	const idBits = 48
	class := workload.Classes[workload.PickClass(rng.Float64())].Name
	request := fastcgi.Request{
		Path:           "/rpc/" + class,
		ID:             fmt.Sprintf("%04x%012x", c.index, rng.Uint64()&(1<<idBits-1)),
		Function:       workload.FunctionName(functions),
		IdempotencyKey: fmt.Sprintf("%04x%016x", c.index, rng.Uint64()),
		Budget:         workload.RequestTimeout,
		Spec:           "memory_mb:512;lanes:4",
		Body:           []byte(c.instance.Name + " asks"),
	}
	if c.load.Modify != nil {
		c.load.Modify(&request)
	}
	return request
}
