package standin

import (
	"math"
	"time"
)

// WorkerProfile is what a stand-in worker can do.
type WorkerProfile struct {
	Concurrency    int           // requests at a time
	ServiceTime    time.Duration // of one request
	LoadTime       time.Duration // of loading a function where the store is healthy
	MaxConnections int           // it resets more; 0 means any number
	HandshakeTime  time.Duration // for which a new connection occupies a slot
}

// The names of the profiles.
const (
	ProfileRoomy = "roomy"
	ProfileSmall = "small" // few requests at a time, and scarce connections
)

// WorkerProfiles has the profiles by name.
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

// What a worker that is warming up can take, as the settings of the testbed say it.
const (
	WarmUpTime              = 17 * time.Second
	initialCapacityFraction = 0.25 // of its capacity, when it starts
	CrashWindow             = 2 * time.Second
	crashMultiple           = 3 // times what it can serve within CrashWindow make it crash
)

// CapacityFraction returns the fraction of its capacity that a worker of this age has. It grows linearly.
func CapacityFraction(age time.Duration) float64 {
	return min(1, initialCapacityFraction+(1-initialCapacityFraction)*age.Seconds()/WarmUpTime.Seconds())
}

// MaxRequests returns how many requests within CrashWindow a worker of this age survives: N + 2 sqrt(N) + 2, where N is
// crashMultiple times what it can serve. One that is warm survives any number.
func (p WorkerProfile) MaxRequests(age time.Duration) float64 {
	if age >= WarmUpTime {
		return math.Inf(1)
	}
	expected := crashMultiple * CapacityFraction(age) * float64(p.Concurrency) / p.ServiceTime.Seconds() * CrashWindow.Seconds()
	return expected + 2*math.Sqrt(expected) + 2
}
