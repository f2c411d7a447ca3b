package gossip_test

import (
	"testing"
	"time"

	"calicohill/internal/fleet/gossip"
)

func TestRateMeterPeak(t *testing.T) {
	cases := map[string]struct {
		sent []time.Duration // send times
		want int
	}{
		"no messages":                {nil, 0},
		"one message":                {[]time.Duration{time.Hour}, 1},
		"two at once":                {[]time.Duration{time.Hour, time.Hour}, 2},
		"two in less than a second":  {[]time.Duration{0, time.Second - 1}, 2},
		"two a second apart":         {[]time.Duration{0, time.Second}, 1},
		"across a whole second":      {[]time.Duration{900 * time.Millisecond, 1000 * time.Millisecond, 1100 * time.Millisecond}, 3},
		"the peak outlasts a pause":  {[]time.Duration{0, 1, 2, time.Hour}, 3},
		"a later second is the peak": {[]time.Duration{0, 1, time.Hour, time.Hour + 1, time.Hour + 2}, 3},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var meter gossip.RateMeter
			for _, now := range tt.sent {
				meter.Record(now)
			}
			if got := meter.Peak(); got != tt.want {
				t.Errorf("peak %d, want %d", got, tt.want)
			}
		})
	}
}
