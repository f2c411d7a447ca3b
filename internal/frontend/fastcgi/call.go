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
	// classPath is the path prefix of a call. The name of the class follows it.
	classPath = "/rpc/"
	// healthPath is the path of a health check.
	healthPath = "/health"

	// maxBudget is the longest time budget that is accepted as valid.
	maxBudget = 10 * time.Minute
	// budgetBits is the size in bits of the integer that holds a budget in milliseconds.
	budgetBits = 31

	maxIdempotencyKeyLen = 128
	hexIDLen             = 16
)

// fields holds the parameters of a request that the scheduler uses, unvalidated, as the client sent them.
type fields struct {
	path           string        // SCRIPT_NAME
	method         string        // REQUEST_METHOD
	contentLength  string        // CONTENT_LENGTH
	id             string        // Request-Id
	function       string        // Resource-Key
	idempotencyKey string        // Once-Key
	budgetMS       string        // Budget-Ms
	spec           string        // X-Spec
	ruleParams     []match.Param // by slot; the parameters that rules read
}

// parseFields parses the parameters of a request. Parameters named in slotByParam, which rules read, are stored in
// their slots of ruleParams. The only error is errTruncatedPair.
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

// budget parses how long the client waits for a response.
func (f *fields) budget() (time.Duration, error) {
	ms, err := strconv.ParseUint(f.budgetMS, 10, budgetBits)
	return time.Duration(ms) * time.Millisecond, err
}

// call validates the fields and converts them to a dispatch.Call. The strings of a valid call are safe to write to a
// worker without escaping.
func (f *fields) call(settings *deployment.Settings, classByName map[string]int) (dispatch.Call, error) {
	name, underClassPath := strings.CutPrefix(f.path, classPath)
	class, known := classByName[name]
	if !underClassPath || !known {
		return dispatch.Call{}, fmt.Errorf("unknown path %.40q", f.path)
	}
	call := dispatch.Call{ID: f.id, Class: class, Function: f.function, IdempotencyKey: f.idempotencyKey}
	if !isHexID(f.id) {
		return call, fmt.Errorf("invalid Request-Id %.40q", f.id)
	}
	if !isHexID(f.function) {
		return call, fmt.Errorf("invalid Resource-Key %.40q", f.function)
	}
	budget, err := f.budget()
	if err != nil || budget == 0 || budget > maxBudget {
		return call, fmt.Errorf("invalid Budget-Ms %.40q", f.budgetMS)
	}
	call.TimeLeft = budget
	if f.idempotencyKey == "" && settings.Classes[class].Idempotency == routing.IdempotentByKey {
		return call, errors.New("missing Once-Key")
	}
	if !isIdempotencyKey(f.idempotencyKey) {
		return call, fmt.Errorf("invalid Once-Key %.40q", f.idempotencyKey)
	}
	err = parseSpec(f.spec, &call)
	return call, err
}

// bodyLength is the length of the body that a client declared.
type bodyLength struct {
	declared bool
	bytes    int
}

// parseBodyLength parses CONTENT_LENGTH, which may be absent.
func parseBodyLength(contentLength string) (bodyLength, error) {
	if contentLength == "" {
		return bodyLength{}, nil
	}
	size, err := strconv.Atoi(contentLength)
	if err != nil || contentLength != strconv.Itoa(size) {
		return bodyLength{}, fmt.Errorf("invalid CONTENT_LENGTH %.20q", contentLength)
	}
	return bodyLength{declared: true, bytes: size}, nil
}

// allows reports whether a body of a length is the declared one.
func (l bodyLength) allows(size int) bool { return !l.declared || l.bytes == size }

// parseSpec parses the client's description of the function, such as memory_mb:512;lanes:2, into a call. It ignores
// unknown names. It stops at the first malformed item; the items before it have been stored in the call.
func parseSpec(spec string, call *dispatch.Call) error {
	if spec == "" {
		return nil
	}
	for item := range strings.SplitSeq(spec, ";") {
		name, text, found := strings.Cut(item, ":")
		value, err := strconv.ParseFloat(text, 64)
		if !found || err != nil || math.IsNaN(value) || value < 0 || value > math.MaxInt32 {
			return fmt.Errorf("invalid X-Spec item %.40q", item)
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

// isHexID reports whether text consists of 16 hexadecimal digits in either case.
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

// isIdempotencyKey reports whether key can be written to a worker as an element of a list. The empty key, which means
// no key, is valid.
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
