package calicohill_test

import (
	"fmt"
	"time"

	"calicohill"
)

// A scheduler hands the Router what happened and does what it is told.
func Example() {
	router, err := calicohill.New(calicohill.Settings{
		Schedulers:   1,
		MaxAttempts:  3,
		CanCancel:    true,
		LoadOnDemand: true,
		TellsWarm:    true,
		KeepAlive:    10 * time.Second,
		Classes:      []calicohill.Class{{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, LateWorth: 0.3}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := router.Step(0, []calicohill.Event{
		calicohill.WorkerList{Kind: calicohill.ListFull, Workers: []calicohill.Worker{{ID: "w1", State: calicohill.Ready}}},
		calicohill.Request{ID: "r1", Function: "forecast", TimeLeft: 4 * time.Second, Lanes: 2},
	})
	for _, a := range actions {
		switch a := a.(type) {
		case calicohill.Send:
			fmt.Printf("send %s to %s, at most %v\n", a.ID, a.Worker, a.Timeout)
		case calicohill.SetTimer:
			fmt.Printf("wake me in %v\n", a.After)
		}
	}
	// Output:
	// wake me in 10ms
	// send r1 to w1, at most 4s
}
