package routing

import (
	"fmt"
	"testing"
	"time"
)

const (
	testFunctionMemory = 256 << 10 // bytes
	floodRequests      = 20000
)

// functionMemoryLimited sets a limit on the memory for functions that a few hundred records reach.
func functionMemoryLimited(s *Settings) { s.FunctionMemory = testFunctionMemory }

// floodCases are the ways in which clients can name ever new functions. Each sends the request with a number.
var floodCases = []struct {
	name string
	send func(h *testHarness, arrival Request)
}{
	{"withdrawn at once", func(h *testHarness, arrival Request) {
		h.step(10*time.Microsecond, arrival, ClientCanceled{arrival.ID})
	}},
	{"withdrawn after the attempt", func(h *testHarness, arrival Request) {
		sent := actionsOf[Send](h.step(10*time.Microsecond, arrival))
		h.step(0, ClientCanceled{arrival.ID})
		for _, s := range sent {
			h.step(0, attemptEnd(s, 0, Canceled))
		}
	}},
	{"expired on arrival", func(h *testHarness, arrival Request) {
		arrival.TimeLeft = 0
		h.step(10*time.Microsecond, arrival)
	}},
	{"failed", func(h *testHarness, arrival Request) {
		for _, s := range actionsOf[Send](h.step(10*time.Microsecond, arrival)) {
			failed := attemptEnd(s, 0, Errored)
			failed.RequestAnswered = true
			h.step(0, failed)
		}
	}},
}

// Guards against memory that grows with each function that clients name, and against such functions displacing those
// that workers have served: these stay, with their loaded instances, service times and worker orders.
func TestNewFunctionsAreBounded(t *testing.T) {
	for _, testCase := range floodCases {
		t.Run(testCase.name, func(t *testing.T) {
			harness := newHarness(t, settings(functionMemoryLimited), readyWorkers(8)...)
			harness.warmUp(200, 10*millisecond)
			usual := map[*function]workerOrder{}
			for _, fn := range harness.router.placements.functions {
				usual[fn] = fn.order
			}
			for i := range floodRequests {
				testCase.send(harness, newTestRequest(fmt.Sprint("flood", i), fmt.Sprintf("%016x", i)))
			}
			usage := harness.router.Usage()
			if usage.FunctionBytes+usage.OrderBytes > testFunctionMemory {
				t.Errorf("%d functions take %d bytes and their orders %d, limit %d",
					usage.Functions, usage.FunctionBytes, usage.OrderBytes, testFunctionMemory)
			}
			for fn, order := range usual {
				kept := harness.router.placements.functions[fn.name]
				if kept != fn || !harness.router.placements.isWarmAnywhere(harness.router.now, fn) || len(fn.order.workers) != len(order.workers) {
					t.Errorf("%s was served before the flood, and is no longer known to be loaded", fn.name)
				}
			}
		})
	}
}

// Guards against a limit that deletes the function of an open request, whose answer would then teach the Router nothing.
func TestFunctionsInUseAreKept(t *testing.T) {
	harness := newHarness(t, settings(functionMemoryLimited), readyWorkers(8)...)
	open := harness.send("open", "new")
	for i := range floodRequests {
		id := fmt.Sprint("flood", i)
		harness.step(10*time.Microsecond, newTestRequest(id, fmt.Sprintf("%016x", i)), ClientCanceled{id})
	}
	harness.step(millisecond, attemptEnd(open, 0, Served))
	fn := harness.router.placements.functions["new"]
	if fn == nil || !harness.router.placements.isWarmAnywhere(harness.router.now, fn) {
		t.Error("the function that was served after the flood is not known to be loaded")
	}
}

// Guards against served functions without a bound: the least recently served ones give way to others that were served.
func TestServedFunctionsAreBounded(t *testing.T) {
	harness := newHarness(t, settings(functionMemoryLimited), readyWorkers(8)...)
	const served = 2000
	for i := range served {
		s := harness.send(fmt.Sprint("r", i), fmt.Sprint("f", i))
		harness.step(0, attemptEnd(s, 0, Served))
	}
	usage := harness.router.Usage()
	if usage.FunctionBytes+usage.OrderBytes > testFunctionMemory {
		t.Errorf("%d functions take %d bytes and their orders %d, limit %d",
			usage.Functions, usage.FunctionBytes, usage.OrderBytes, testFunctionMemory)
	}
	if harness.router.placements.functions[fmt.Sprint("f", served-1)] == nil {
		t.Error("the function that was served last is not known")
	}
}

// Guards against a flood of new functions in place of the served ones in the state that the next process restores.
func TestLearnedStateLeavesOutUnservedFunctions(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(4)...)
	harness.warmUp(20, 10*millisecond)
	for i := range 2 * maxLearnedFunctions {
		id := fmt.Sprint("flood", i)
		harness.step(10*time.Microsecond, newTestRequest(id, fmt.Sprintf("%016x", i)), ClientCanceled{id})
	}
	if learned := harness.router.LearnedState().Functions; len(learned) != 7 {
		t.Errorf("%d functions exported, want the 7 that were served", len(learned))
	}
}

// Guards against functions that were served once displacing those that were served repeatedly.
func TestFunctionsServedOnceDoNotDisplaceOthers(t *testing.T) {
	harness := newHarness(t, settings(functionMemoryLimited), readyWorkers(8)...)
	harness.warmUp(70, 10*millisecond)
	for i := range 2000 {
		s := harness.send(fmt.Sprint("r", i), fmt.Sprintf("%016x", i))
		harness.step(0, attemptEnd(s, 0, Served))
	}
	for i := range 7 {
		if harness.router.placements.functions[fmt.Sprint("f", i)] == nil {
			t.Errorf("function f%d, which was served repeatedly, is not known any more", i)
		}
	}
}
