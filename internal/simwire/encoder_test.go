package simwire_test

import (
	"bytes"
	"testing"
	"time"

	"calicohill/internal/simwire"
	"calicohill/routing"
)

// Each action must be encoded as the simulator expects it.
func TestEncode(t *testing.T) {
	var out bytes.Buffer
	encoder := simwire.NewEncoder(&out)
	encoder.Instance(3)
	for _, action := range []routing.Action{
		routing.Send{ID: "t/a", Worker: "w", Timeout: 80*millisecond + 500*time.Microsecond},
		routing.Cancel{ID: "t/a", Attempt: 1},
		routing.Reject{ID: "t/a", RetryAfter: 250 * millisecond},
		routing.Fail{ID: "t/a"},
		routing.SetTimer{After: 500 * millisecond, Token: 77},
		routing.Probe{Worker: "w"},
		routing.Load{Worker: "w", Function: "f", Instances: 2},
		routing.Unload{Worker: "w", Function: "f"},
		routing.Subscribe{On: true},
		routing.FetchList{},
	} {
		if err := encoder.Action(action); err != nil {
			t.Fatal(err)
		}
	}
	encoder.InstanceFailed("a\tb\nc")
	if err := encoder.Flush("12"); err != nil {
		t.Fatal(err)
	}
	want := "instance\t3\ntry\tt/a\t80.5\tw\nrecall\tt/a\t1\nsay_no\tt/a\t250\nsurrender\tt/a\narm\t500\t77\n" +
		"ping\tw\npin_up\tw\tf\t2\nunmount\tw\tf\nobserve\t1\nresolve\ngive_in\ta b c\nok\t12\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}
