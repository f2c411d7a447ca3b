package match

import (
	"cmp"
	"hash/fnv"
	"time"
)

// environment exposes a Request to expressions under the field names of the schema. The names that end in an underscore
// are internal; the rewriter substitutes them for param.
type environment struct {
	Class       string            `expr:"class"`
	Handler     string            `expr:"handler"`
	Path        string            `expr:"path"`
	Method      string            `expr:"method"`
	TimeLeft    time.Duration     `expr:"budget"`
	Body        int               `expr:"body"`
	Keyed       bool              `expr:"keyed"`
	Client      string            `expr:"client"`
	MemoryMB    float64           `expr:"memory_mb"`
	Concurrency int               `expr:"lanes"`
	Hour        int               `expr:"hour"`
	Minute      int               `expr:"minute"`
	Weekday     int               `expr:"weekday"`
	Bucket      int               `expr:"share"`
	Param       map[string]string `expr:"param"`  // declared only for its type; reads are rewritten to slots
	Slots       [][]string        `expr:"slots_"` // each slot is a list of the value alone, or empty if the parameter is missing
	Has         []bool            `expr:"has_"`   // by slot

	values []string // parameter values by slot; backing array of Slots
}

// newEnvironment returns an environment for expressions that read a number of parameters.
func newEnvironment(slots int) environment {
	return environment{Slots: make([][]string, slots), Has: make([]bool, slots), values: make([]string, slots)}
}

// fill sets the environment from a request.
func (e *environment) fill(request *Request) {
	*e = environment{
		Class:       textWithin(request.Class, maxClassBytes),
		Handler:     textWithin(request.Handler, maxFunctionIDBytes),
		Path:        textWithin(request.Path, maxPathBytes),
		Method:      textWithin(request.Method, maxMethodBytes),
		TimeLeft:    request.TimeLeft,
		Body:        request.BodyBytes,
		Keyed:       request.IdempotencyKey != "",
		Client:      textWithin(request.Client, maxClientBytes),
		MemoryMB:    request.MemoryMB,
		Concurrency: request.Concurrency,
		Hour:        request.LocalTime.Hour(),
		Minute:      request.LocalTime.Minute(),
		Weekday:     int(request.LocalTime.Weekday()),
		Bucket:      bucketOf(cmp.Or(request.IdempotencyKey, request.ID)),
		Slots:       e.Slots,
		Has:         e.Has,
		values:      e.values,
	}
	for slot := range e.Slots {
		var param Param
		if slot < len(request.Params) {
			param = request.Params[slot]
		}
		e.setParam(slot, param)
	}
}

// setParam sets a slot. A value longer than maxValueBytes is treated as missing.
func (e *environment) setParam(slot int, param Param) {
	e.Slots[slot] = nil
	e.Has[slot] = param.Present && len(param.Value) <= maxValueBytes
	if e.Has[slot] {
		e.values[slot] = param.Value
		e.Slots[slot] = e.values[slot : slot+1]
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

// textWithin returns text, or "" if text is longer than maxBytes.
func textWithin(text string, maxBytes int) string {
	if len(text) > maxBytes {
		return ""
	}
	return text
}

// totalBuckets is the number of buckets that keys are hashed to. Split.PerMille is a number of buckets.
const totalBuckets = 1000

// Parameters of the first two steps of the SplitMix64 finalizer (Steele, Lea and Flood, 2014).
const (
	mixShift1     = 30
	mixMultiplier = 0xbf58476d1ce4e5b9
	mixShift2     = 27
)

// bucketOf returns the bucket of a key, from 0 to 999. The same key always has the same bucket.
func bucketOf(key string) int {
	hash := fnv.New64a()
	hash.Write([]byte(key))
	mixed := hash.Sum64()
	// FNV-1a distributes keys that differ only in their last bytes poorly.
	mixed = (mixed ^ mixed>>mixShift1) * mixMultiplier
	return int((mixed ^ mixed>>mixShift2) % totalBuckets)
}
