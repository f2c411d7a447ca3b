// Package match determines a request's class, affinity key, route and labels from rules written by operators.
//
// A rule consists of a condition and the attributes that it sets, written in a small typed language (a subset of
// expr-lang/expr). Load validates types and field names, and the worst-case cost of each expression and of the whole
// table. A valid expression has no loops, and its cost stays within the estimate for every request. The package does no
// I/O and reads no clock.
package match

import "time"

// Field declares one field that expressions can read.
type Field struct {
	Name     string
	Type     string // as shown on the operators' page
	MaxBytes int    // maximum length of a text, in bytes; 0 for other types
	Help     string
}

// Maximum lengths of texts in expressions, in bytes. A longer text is treated as missing.
const (
	maxClassBytes      = 64
	maxFunctionIDBytes = 16
	maxPathBytes       = 256
	maxMethodBytes     = 16
	maxNameBytes       = 64
	maxValueBytes      = 256
	maxClientBytes     = 45
)

// Schema lists all fields of a request, in the order of the operators' page.
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

// Request contains the properties of a request that expressions can read.
type Request struct {
	Class          string // requested by the client; "" if none
	Handler        string // id of the function
	Path           string
	Method         string
	Client         string // IP address
	IdempotencyKey string
	ID             string
	TimeLeft       time.Duration // until the client stops waiting
	BodyBytes      int
	MemoryMB       float64   // memory of a loaded instance, in MB; 0 if unknown
	Concurrency    int       // maximum number of concurrent requests of an instance; 0 if unknown
	LocalTime      time.Time // in the time zone of the site
	Params         []Param   // indexed by slot, see Table.Slots
}

// Param is a request parameter that rules read. The zero Param is a parameter that the request does not have.
type Param struct {
	Value   string
	Present bool // the request has the parameter, possibly with an empty value
}

// PresentParam returns a Param for a parameter of the request.
func PresentParam(value string) Param { return Param{Value: value, Present: true} }
