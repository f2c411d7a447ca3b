// Package match decides a request's class, affinity key, route and labels by rules that operators write.
//
// A rule is a condition and its consequences, in a small typed language (a subset of expr-lang/expr). Everything is
// checked at load: types, the fields that exist, the worst-case cost of each expression and of the whole table. What
// passes has no loops and runs within its cost, whatever a request holds. Nothing here does I/O or reads a clock.
package match

import "time"

// Field declares one field that expressions may read.
type Field struct {
	Name     string
	Type     string // as the operators' page has it
	MaxBytes int    // longest text, in bytes; 0 where it is no text
	Help     string
}

// The longest texts that expressions see, in bytes. A longer one is treated as missing.
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
	{"class", "text", maxClassBytes, "the class that the client requests; empty if it names none"},
	{"handler", "text", maxFunctionIDBytes, "the function"},
	{"path", "text", maxPathBytes, "the whole path, as in /rpc/consulta"},
	{"method", "text", maxMethodBytes, "REQUEST_METHOD; empty if not set"},
	{"param", "map from name to text", maxValueBytes, `further parameters: param["HTTP_X_CENTRE"]. "HTTP_X_CENTRE" in param reports whether there is one; reading one that is missing is an error`},
	{"budget", "duration", 0, `how long the client waits, as in duration("500ms")`},
	{"body", "number", 0, "length of the body in bytes by CONTENT_LENGTH; 0 if that is not set"},
	{"keyed", "boolean", 0, "whether there is an idempotency key"},
	{"client", "text", maxClientBytes, "the client's IP address"},
	{"memory_mb", "number", 0, "memory of a loaded instance; 0 if not set"},
	{"lanes", "number", 0, "concurrency of an instance; 0 if not set"},
	{"hour", "number", 0, "local time: 0 to 23"},
	{"minute", "number", 0, "0 to 59"},
	{"weekday", "number", 0, "0 (Sunday) to 6"},
	{"share", "number", 0, "0 to 999, the same for all attempts under one idempotency key; by the request's id where there is none"},
}

// Request is what expressions see of a request.
type Request struct {
	Class          string
	Handler        string // id of the function
	Path           string
	Method         string
	Client         string // IP address
	IdempotencyKey string // idempotency key
	ID             string
	TimeLeft       time.Duration // how long the client waits
	BodyBytes      int           // bytes
	MemoryMB       float64       // of a loaded instance, in MB; 0 if unknown
	Concurrency    int           // requests that an instance runs at a time; 0 if unknown
	LocalTime      time.Time     // local time of the site
	// Params is by slot: see Table.Slots.
	Params []Param
}

// Param is a parameter that rules read. The zero Param is one that the request lacks.
type Param struct {
	Value   string
	Present bool // the request has the parameter, if only with an empty value
}

// PresentParam returns a parameter that the request has.
func PresentParam(value string) Param { return Param{Value: value, Present: true} }
