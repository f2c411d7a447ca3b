package standin

import (
	"math"
	"time"
)

// WorkerProfile describes the capacity of a stand-in worker.
type WorkerProfile struct {
	Concurrency    int           // maximum number of concurrent requests
	ServiceTime    time.Duration // execution time of a request on a warm worker
	LoadTime       time.Duration // time to load a function from a healthy store
	MaxConnections int           // further connections are closed at once; 0 means unlimited
	HandshakeTime  time.Duration // time for which a new connection occupies a slot
}

// Names of the profiles.
const (
	ProfileRoomy = "roomy"
	ProfileSmall = "small" // low concurrency and few connections
)

// WorkerProfiles maps names to profiles.
var WorkerProfiles = map[string]WorkerProfile{
	ProfileRoomy: {
		Concurrency: 8,
		ServiceTime: 15 * time.Millisecond,
		LoadTime:    60 * time.Millisecond,
	},
	ProfileSmall: {
		Concurrency:    2,
		ServiceTime:    80 * time.Millisecond,
		LoadTime:       300 * time.Millisecond,
		MaxConnections: 48,
		HandshakeTime:  2 * time.Millisecond,
	},
}

// Warm-up model of a worker. The values match the testbed's settings.
const (
	WarmUpTime              = 17 * time.Second
	initialCapacityFraction = 0.25 // fraction of the full capacity at start
	CrashWindow             = 2 * time.Second
	crashMultiple           = 3 // a worker crashes at this multiple of its capacity within CrashWindow
)

// CapacityFraction returns the fraction of the full capacity that a worker of the given age has. It grows linearly
// during the warm-up.
func CapacityFraction(age time.Duration) float64 {
	return min(1, initialCapacityFraction+(1-initialCapacityFraction)*age.Seconds()/WarmUpTime.Seconds())
}

// MaxRequests returns the number of requests within CrashWindow that a worker of the given age survives. It is
// N + 2 sqrt(N) + 2, where N is crashMultiple times the worker's capacity. A warm worker survives any number.
func (p WorkerProfile) MaxRequests(age time.Duration) float64 {
	if age >= WarmUpTime {
		return math.Inf(1)
	}
	expected := crashMultiple * CapacityFraction(age) * float64(p.Concurrency) / p.ServiceTime.Seconds() * CrashWindow.Seconds()
	return expected + 2*math.Sqrt(expected) + 2
}
