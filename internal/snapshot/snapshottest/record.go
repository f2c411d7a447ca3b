// Package snapshottest provides the record from which the golden files of packages snapshot and snapshotfile were
// created. It is for tests only.
package snapshottest

import (
	"time"

	"calicohill/internal/snapshot"
	"calicohill/routing"
)

// Parameters for reading the golden records.
const (
	Fleet  = "gt-registros"              // name of the fleet
	Time   = 1_790_000_000 * time.Second // Unix time at which the records were created
	MaxAge = time.Hour                   // maximum age of a record
)

// EndpointList is an endpoint list in the format of a response of the list service.
const EndpointList = `{"no":41,"items":[{"no":41,"roster":{"all":true,"targets":[` +
	`{"uid":"w-1","endpoint":"127.0.0.1:9001","az":"az-a","model":"m5","pod_group":1,"state":"SERVING",` +
	`"capacity_hint":1.5,"boot_ms":1789990000000},` +
	`{"uid":"w-2","endpoint":"[::1]:9002","az":"az-b","model":"m6","pod_group":0,"state":"DRAINING",` +
	`"capacity_hint":null,"boot_ms":1789990000250.5}]}}]}`

// Record returns a new copy of the record in the golden files.
func Record() snapshot.Record {
	return snapshot.Record{Fleet: Fleet, EventNumber: 41, CreatedAt: Time, Endpoints: []byte(EndpointList), State: routing.LearnedState{
		CapturedAt:          Time - 250*time.Millisecond,
		RequestWeight:       1234.5678,
		ThroughputPerWeight: 17.25,
		MeanPressure:        0.1,
		Functions: []routing.LearnedFunction{
			{
				Name: "resize", Class: 1, Concurrency: 4, RequestWeight: 1000.125, ServiceTimeExcess: -0.037, LoadTime: 1500 * time.Millisecond,
				Instances: []routing.LearnedInstance{
					{WorkerIndex: 0, LastWarm: Time - time.Second, Count: 2},
					{WorkerIndex: 1, LastWarm: Time - 7*time.Second, Count: 1},
				},
			},
			{Name: "förhandsvisning", Class: 0, Concurrency: 0, RequestWeight: 1e-9, ServiceTimeExcess: 1e21, LoadTime: 0},
		},
		Workers: []routing.LearnedWorker{
			{ID: "w-1", Started: 1_789_990_000 * time.Second, PressureExcess: -0.5, LatencyExcess: 0.3333333333333333},
			{ID: "w-2", Started: 1_789_990_000*time.Second + 250500*time.Microsecond, PressureExcess: 2, LatencyExcess: 0},
		},
	}}
}
