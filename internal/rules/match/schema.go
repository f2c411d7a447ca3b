// Package match decides a request's class, affinity key, route and labels by rules that operators write.
//
// A rule is a condition and what follows from it, in a small typed language (expr-lang/expr, cut down). All is
// decided at load: types, the fields that exist, the worst cost of each expression and of the whole table. What
// passes has no loops and runs within its cost, whatever a request holds. Nothing here does I/O or reads a clock.
package match

import (
	"cmp"
	"hash/fnv"
	"time"
)

// Field declares one field of a request that expressions may read.
type Field struct {
	Name string
	Type string // as operators read it
	Most int    // longest text, in bytes; 0 where it is no text
	Help string
}

// The longest texts that expressions see. A request with a longer one is seen without it: the field is missing.
const (
	maxClassBytes      = 64
	maxFunctionIDBytes = 16
	maxPathBytes       = 256
	maxMethodBytes     = 16
	maxNameBytes       = 64
	maxValueBytes      = 256
	maxClientBytes     = 45
)

// Schema is every field, in the order of the operators' page.
var Schema = []Field{
	{"class", "text", maxClassBytes, "the class that the client asks for; empty if it names none"},
	{"handler", "text", maxFunctionIDBytes, "the function"},
	{"path", "text", maxPathBytes, "the whole path, as in /rpc/consulta"},
	{"method", "text", maxMethodBytes, "REQUEST_METHOD; empty if not told"},
	{"param", "texts by name", maxValueBytes, `further parameters: param["HTTP_X_CENTRE"]. "HTTP_X_CENTRE" in param tells whether there is one; reading one that is missing is a fault`},
	{"budget", "duration", 0, `how long the client waits, as in duration("500ms")`},
	{"body", "number", 0, "bytes of the body, as far as CONTENT_LENGTH tells; 0 if it doesn't"},
	{"keyed", "truth", 0, "whether there is an idempotency key"},
	{"client", "text", maxClientBytes, "the client's IP address"},
	{"memory_mb", "number", 0, "memory of a loaded copy; 0 if not told"},
	{"lanes", "number", 0, "requests that a copy runs at a time; 0 if not told"},
	{"hour", "number", 0, "local time: 0 to 23"},
	{"minute", "number", 0, "0 to 59"},
	{"weekday", "number", 0, "0 (Sunday) to 6"},
	{"share", "number", 0, "0 to 999, the same for all tries under one idempotency key; by the request's id where there is none"},
}

// Request is what expressions see of a request.
type Request struct {
	Class, Handler, Path, Method, Client, OnceKey string
	ID                                            string
	Budget                                        time.Duration
	Body                                          int
	Memory                                        float64
	Lanes                                         int
	Local                                         time.Time
	// Params is by slot: see Table.Slots. A nil element is a parameter that is missing.
	Params [][]string
}

// env is a Request as expressions read it. The names that end in _ are what param[...] is turned into.
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

func textWithin(s string, most int) string {
	if len(s) > most {
		return ""
	}
	return s
}

// share is a stable number from 0 to 999 for a key.
func stableShare(key string) int {
	h := fnv.New64a()
	h.Write([]byte(key))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return int((x ^ x>>27) % 1000)
}

func (t *Table) fillEnvironment(q *Request) *environment {
	e := &t.env
	*e = environment{
		Class: textWithin(q.Class, maxClassBytes), Handler: textWithin(q.Handler, maxFunctionIDBytes), Path: textWithin(q.Path, maxPathBytes),
		Method: textWithin(q.Method, maxMethodBytes), Budget: q.Budget, Body: q.Body, Keyed: q.OnceKey != "",
		Client: textWithin(q.Client, maxClientBytes), MemoryMB: q.Memory, Lanes: q.Lanes, Hour: q.Local.Hour(),
		Minute: q.Local.Minute(), Weekday: int(q.Local.Weekday()), Share: stableShare(cmp.Or(q.OnceKey, q.ID)), Slots: e.Slots, Has: e.Has,
	}
	for i := range e.Slots {
		e.Slots[i], e.Has[i] = nil, false
		if i < len(q.Params) && len(q.Params[i]) > 0 && len(q.Params[i][0]) <= maxValueBytes {
			e.Slots[i], e.Has[i] = q.Params[i], true
		}
	}
	return e
}
