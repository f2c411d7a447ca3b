package simwire_test

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"calicohill/internal/simwire"
	"calicohill/routing"
)

const millisecond = time.Millisecond

// Each message must be decoded with its values in the right fields and units.
func TestDecode(t *testing.T) {
	for _, tt := range []struct {
		line string
		want routing.Event
	}{
		{"call\tt/a\t0\t-\tm-f\t240.5\t-\t384\t2\t900\t3", routing.Request{
			ID: "t/a", Function: "m-f",
			TimeLeft: 240*millisecond + 500*time.Microsecond, MemoryMB: 384, Concurrency: 2, LoadTime: 900 * millisecond, MarkedRetry: true,
		}},
		{"first\tt/a\t1\tworker-x\t9.25", routing.StreamStarted{
			ID: "t/a", Attempt: 1, Worker: "worker-x",
			Latency: 9250 * time.Microsecond,
		}},
		{
			"outcome\tt/a\t1\t17\t18.5\tworker-x\t0\tdelivered\tinflight:3,x1:1.5,new:9",
			routing.AttemptEnded{
				ID: "t/a", RequestAnswered: true, StartType: routing.WarmStart, InFlightForFunction: 2,
				Latency: 18500 * time.Microsecond, Worker: "worker-x", Outcome: routing.Served,
				Report: &routing.LoadReport{InFlight: 3, QueueLength: -1, Utilization: -1, UnreclaimableMemoryFraction: -1, LoadsInProgress: 1.5},
			},
		},
		{"outcome\tt/a\t0\t4\t18\tworker-x\t2\tempty\t-", routing.AttemptEnded{
			ID: "t/a", Attempt: 2,
			StartType: routing.LoadFailed, InFlightForFunction: -1, Latency: 18 * millisecond, Worker: "worker-x",
			Outcome: routing.NotLoaded,
		}},
		{"expired\tt/a", routing.ClientCanceled{ID: "t/a"}},
		{"reminder\t9223372036854775808", routing.TimerFired{Token: 1 << 63}},
		{"sampled\tdelivered\tworker-x\t1.5\t-", routing.ProbeEnded{Worker: "worker-x", Latency: 1500 * time.Microsecond}},
		{"brought_up\tworker-x\t640\t1\tm-f\tshed", routing.LoadEnded{
			Worker: "worker-x", Latency: 640 * millisecond,
			Instances: 1, Function: "m-f", Outcome: routing.Shed,
		}},
		{"datagram\t2\t6869", routing.PeerMessage{From: 2, Data: []byte("hi")}},
		{
			"view\t0\t3\t2\nm\t1.5\t1\tworker-x\t1\t2\t3\t6100\nm\t1\t0\tworker-y\t0\t0\t0\t-",
			routing.WorkerList{Workers: []routing.Worker{
				{ID: "worker-x", State: routing.Ready, Weight: 1.5, Kind: 1, Zone: 2, Cell: 3, Started: 6100 * millisecond},
				{ID: "worker-y", State: routing.Gone, Weight: 1},
			}},
		},
	} {
		decoder := simwire.NewDecoder(strings.NewReader("round\t5\t1\ntarget_instance\t3\n" + tt.line + "\nflush\n"))
		batch, err := decoder.Next()
		if err != nil {
			t.Errorf("%q: %v", tt.line, err)
			continue
		}
		if len(batch.Items) != 1 || batch.Items[0].Instance != 3 || !reflect.DeepEqual(batch.Items[0].Event, tt.want) {
			t.Errorf("%q: got %+v, want %+v", tt.line, batch.Items, tt.want)
		}
	}
}

// For any input, a syntax error must name its line, and each item must be exactly one of start, stop and event.
func FuzzDecode(f *testing.F) {
	f.Add("round\t5\t1\ntarget_instance\t3\ncall\tt/a\t0\t-\tm-f\t240.5\t-\t384\t2\t900\t3\nflush\n")
	f.Add("round\t5\t1\ntarget_instance\t3\nview\t0\t3\t1\nm\t1.5\t1\tw\t1\t2\t3\t6100\nflush\n")
	f.Add("round\t5\t1\ntarget_instance\t3\noutcome\tt/a\t1\t-\t18.5\tw\t0\tdelivered\tx0:1,y:-\nflush\n")
	f.Add("round\t5\t1\ntarget_instance\t3\npower_on\t5\t{\"classes\":[{\"effect\":\"read_like\"}]}\nflush\n")
	f.Fuzz(func(t *testing.T, text string) {
		decoder := simwire.NewDecoder(strings.NewReader(text))
		for {
			batch, err := decoder.Next()
			if errors.Is(err, io.EOF) && batch == nil {
				var syntax *simwire.SyntaxError
				if errors.As(err, &syntax) && syntax.Line == 0 {
					t.Fatalf("error without a line: %v", err)
				}
				return
			}
			if err != nil {
				var syntax *simwire.SyntaxError
				if !errors.As(err, &syntax) || syntax.Line == 0 {
					t.Fatalf("error without a line: %v", err)
				}
				return
			}
			for _, item := range batch.Items {
				if (item.Start != nil) == (item.Event != nil) && !item.Stop {
					t.Fatalf("item %+v is not exactly one of start, stop and event", item)
				}
			}
		}
	})
}
