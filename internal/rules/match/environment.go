package match

import (
	"cmp"
	"hash/fnv"
	"time"
)

// environment is a Request as expressions read it, by the names of the schema. The names that end in an underscore
// are those that the rewriter turns param into.
type environment struct {
	Class    string            `expr:"class"`
	Handler  string            `expr:"handler"`
	Path     string            `expr:"path"`
	Method   string            `expr:"method"`
	Budget   time.Duration     `expr:"budget"`
	Body     int               `expr:"body"`
	Keyed    bool              `expr:"keyed"`
	Client   string            `expr:"client"`
	MemoryMB float64           `expr:"memory_mb"`
	Lanes    int               `expr:"lanes"`
	Hour     int               `expr:"hour"`
	Minute   int               `expr:"minute"`
	Weekday  int               `expr:"weekday"`
	Share    int               `expr:"share"`
	Param    map[string]string `expr:"param"` // declared for its type; always turned into a slot
	Slots    [][]string        `expr:"slots_"`
	Has      []bool            `expr:"has_"`
}

// fill sets the environment to a request.
func (e *environment) fill(request *Request) {
	*e = environment{
		Class:    textWithin(request.Class, maxClassBytes),
		Handler:  textWithin(request.Handler, maxFunctionIDBytes),
		Path:     textWithin(request.Path, maxPathBytes),
		Method:   textWithin(request.Method, maxMethodBytes),
		Budget:   request.TimeLeft,
		Body:     request.BodyBytes,
		Keyed:    request.IdempotencyKey != "",
		Client:   textWithin(request.Client, maxClientBytes),
		MemoryMB: request.MemoryMB,
		Lanes:    request.Concurrency,
		Hour:     request.LocalTime.Hour(),
		Minute:   request.LocalTime.Minute(),
		Weekday:  int(request.LocalTime.Weekday()),
		Share:    stableShare(cmp.Or(request.IdempotencyKey, request.ID)),
		Slots:    e.Slots,
		Has:      e.Has,
	}
	for i := range e.Slots {
		e.Slots[i] = nil
		e.Has[i] = false
		if i < len(request.Params) && len(request.Params[i]) > 0 && len(request.Params[i][0]) <= maxValueBytes {
			e.Slots[i] = request.Params[i]
			e.Has[i] = true
		}
	}
}

// indexedField returns the value of one of indexedFields.
func (e *environment) indexedField(name string) string {
	switch name {
	case classField:
		return e.Class
	case handlerField:
		return e.Handler
	case pathField:
		return e.Path
	case methodField:
		return e.Method
	}
	return ""
}

// textWithin returns a text, or "" if it is longer than a limit in bytes.
func textWithin(text string, maxBytes int) string {
	if len(text) > maxBytes {
		return ""
	}
	return text
}

// totalShares is the number of values of the field share, and what the parts of splits are fractions of.
const totalShares = 1000

// The parameters of the first two steps of SplitMix64's finalizer (Steele, Lea and Flood, 2014).
const (
	mixShift1     = 30
	mixMultiplier = 0xbf58476d1ce4e5b9
	mixShift2     = 27
)

// stableShare returns a number from 0 to 999 that is the same each time for a key.
func stableShare(key string) int {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	mixed := hash.Sum64()
	// FNV mixes its last bytes badly.
	mixed = (mixed ^ mixed>>mixShift1) * mixMultiplier
	return int((mixed ^ mixed>>mixShift2) % totalShares)
}
