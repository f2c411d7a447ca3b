package routing_test

import (
	"fmt"
	"time"

	"calicohill/routing"
)

// A scheduler passes events to the Router and executes the actions that it returns.
func Example() {
	router, err := routing.New(routing.Settings{
		Schedulers:             1,
		MaxAttempts:            3,
		CancelAllowed:          true,
		LoadOnDemand:           true,
		AnswersReportStartType: true,
		InstanceKeepAlive:      10 * time.Second,
		Classes:                []routing.Class{{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, LateValue: 0.3}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := router.Step(0, []routing.Event{
		routing.WorkerList{Kind: routing.ListFull, Workers: []routing.Worker{{ID: "w1", State: routing.Ready}}},
		routing.Request{ID: "r1", Function: "forecast", TimeLeft: 4 * time.Second, Concurrency: 2},
	})
	for _, a := range actions {
		switch a := a.(type) {
		case routing.Send:
			fmt.Printf("send %s to %s, timeout %v\n", a.ID, a.Worker, a.Timeout)
		case routing.SetTimer:
			fmt.Printf("set timer to %v\n", a.After)
		}
	}
	// Output:
	// set timer to 10ms
	// send r1 to w1, timeout 4s
}
