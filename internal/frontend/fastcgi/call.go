package fastcgi

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"calicohill/internal/config/deployment"
	"calicohill/internal/dispatch"
	"calicohill/internal/rules/match"
	"calicohill/routing"
)

const (
	// classPath begins the path of a call; the name of the class follows.
	classPath = "/rpc/"
	// healthPath is the path of a health check.
	healthPath = "/health"

	// maxBudget bounds how long a client may say that it waits; a longer time is rejected as nonsense.
	maxBudget = 10 * time.Minute
	// budgetBits is the size of the integer, in milliseconds, that a budget must fit into.
	budgetBits = 31

	maxIdempotencyKeyLen = 128
	hexIDLen             = 16
)

// fields are the parameters of a request that mean something to the scheduler, as the client sent them.
type fields struct {
	path           string        // SCRIPT_NAME
	method         string        // REQUEST_METHOD
	contentLength  string        // CONTENT_LENGTH
	id             string        // Request-Id
	function       string        // Resource-Key
	idempotencyKey string        // Once-Key
	budgetMS       string        // Budget-Ms
	spec           string        // X-Spec
	ruleParams     []match.Param // by slot, those that rules read
}

// parseFields reads the parameters of a request. Those that rules read, named in slotByParam, go into their slots of
// ruleParams. The error is errTruncatedPair.
func parseFields(params []byte, slotByParam map[string]int) (fields, error) {
	var parsed fields
	known := map[string]*string{
		"SCRIPT_NAME":       &parsed.path,
		"REQUEST_METHOD":    &parsed.method,
		"CONTENT_LENGTH":    &parsed.contentLength,
		"HTTP_REQUEST_ID":   &parsed.id,
		"HTTP_RESOURCE_KEY": &parsed.function,
		"HTTP_ONCE_KEY":     &parsed.idempotencyKey,
		"HTTP_BUDGET_MS":    &parsed.budgetMS,
		"HTTP_X_SPEC":       &parsed.spec,
	}
	if len(slotByParam) > 0 {
		parsed.ruleParams = make([]match.Param, len(slotByParam))
	}
	err := forEachPair(params, func(name, value []byte) {
		if field := known[string(name)]; field != nil {
			*field = string(value)
		}
		if slot, ok := slotByParam[string(name)]; ok {
			parsed.ruleParams[slot] = match.PresentParam(string(value))
		}
	})
	return parsed, err
}

// budget is the time that the client waits for an answer. An error means that it is no number.
func (f *fields) budget() (time.Duration, error) {
	ms, err := strconv.ParseUint(f.budgetMS, 10, budgetBits)
	return time.Duration(ms) * time.Millisecond, err
}

// call validates the fields of a request. What passes can be written to a worker as it is.
func (f *fields) call(settings *deployment.Settings, classByName map[string]int) (dispatch.Call, error) {
	name, underClassPath := strings.CutPrefix(f.path, classPath)
	class, known := classByName[name]
	if !underClassPath || !known {
		return dispatch.Call{}, fmt.Errorf("path %.40q", f.path)
	}
	call := dispatch.Call{ID: f.id, Class: class, Function: f.function, IdempotencyKey: f.idempotencyKey}
	if !isHexID(f.id) {
		return call, fmt.Errorf("Request-Id %.40q", f.id)
	}
	if !isHexID(f.function) {
		return call, fmt.Errorf("Resource-Key %.40q", f.function)
	}
	budget, err := f.budget()
	if err != nil || budget == 0 || budget > maxBudget {
		return call, fmt.Errorf("Budget-Ms %.40q", f.budgetMS)
	}
	call.TimeLeft = budget
	if f.idempotencyKey == "" && settings.Classes[class].Idempotency == routing.IdempotentByKey {
		return call, errors.New("no Once-Key")
	}
	if !isIdempotencyKey(f.idempotencyKey) {
		return call, fmt.Errorf("Once-Key %.40q", f.idempotencyKey)
	}
	err = parseSpec(f.spec, &call)
	return call, err
}

// parseSpec reads what the client knows of the function, as in memory_mb:512;lanes:2, into a call. Unknown names are
// skipped. What stands before a part that is malformed has been read when the error is returned.
func parseSpec(spec string, call *dispatch.Call) error {
	if spec == "" {
		return nil
	}
	for item := range strings.SplitSeq(spec, ";") {
		name, text, found := strings.Cut(item, ":")
		value, err := strconv.ParseFloat(text, 64)
		if !found || err != nil || math.IsNaN(value) || value < 0 || value > math.MaxInt32 {
			return fmt.Errorf("X-Spec %.40q", item)
		}
		switch name {
		case "memory_mb":
			call.MemoryMB = value
		case "lanes":
			call.Concurrency = int(value)
		case "load_ms":
			call.LoadTime = time.Duration(value * float64(time.Millisecond))
		}
	}
	return nil
}

// isHexID reports whether a text is 16 hexadecimal digits, of either case.
func isHexID(text string) bool {
	if len(text) != hexIDLen {
		return false
	}
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// isIdempotencyKey reports whether a key can be written to a worker as an element of a list. The empty key, which stands
// for none, can.
func isIdempotencyKey(key string) bool {
	if len(key) > maxIdempotencyKeyLen {
		return false
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return true
}
