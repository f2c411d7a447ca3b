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
	"calicohill/routing"
)

// maxBudget is the longest that a client may say it waits; more is taken for nonsense.
const maxBudget = 10 * time.Minute

// fields are the parameters of a request that mean something here.
type fields struct {
	path, id, budgetMS, idempotencyKey, function, spec, contentLength string
	method                                                            string
	ruleParams                                                        [][]string // by slot; nil where one is missing
}

// parseFields reads the parameters. slots are further ones that rules read, by name.
func parseFields(params []byte, slots map[string]int) (f fields, err error) {
	known := map[string]*string{
		"SCRIPT_NAME": &f.path, "HTTP_REQUEST_ID": &f.id, "HTTP_BUDGET_MS": &f.budgetMS,
		"HTTP_ONCE_KEY": &f.idempotencyKey, "HTTP_RESOURCE_KEY": &f.function, "HTTP_X_SPEC": &f.spec,
		"CONTENT_LENGTH": &f.contentLength, "REQUEST_METHOD": &f.method,
	}
	if len(slots) > 0 {
		f.ruleParams = make([][]string, len(slots))
	}
	err = forEachPair(params, func(name, value []byte) {
		if p := known[string(name)]; p != nil {
			*p = string(value)
		}
		if i, ok := slots[string(name)]; ok {
			f.ruleParams[i] = []string{string(value)}
		}
	})
	return f, err
}

// call checks the fields of a request. What passes can be written to a worker as it is.
func (f *fields) call(site *deployment.Settings, classes map[string]int) (c dispatch.Call, err error) {
	name, under := strings.CutPrefix(f.path, "/rpc/")
	class, ok := classes[name]
	if !under || !ok {
		return c, fmt.Errorf("path %.40q", f.path)
	}
	c.Class = class
	if !isHex16(f.id) {
		return c, fmt.Errorf("Request-Id %.40q", f.id)
	}
	if !isHex16(f.function) {
		return c, fmt.Errorf("Resource-Key %.40q", f.function)
	}
	ms, err := strconv.ParseUint(f.budgetMS, 10, 31)
	if c.TimeLeft = time.Duration(ms) * time.Millisecond; err != nil || ms == 0 || c.TimeLeft > maxBudget {
		return c, fmt.Errorf("Budget-Ms %.40q", f.budgetMS)
	}
	if f.idempotencyKey == "" && site.Classes[c.Class].Idempotency == routing.IdempotentByKey {
		return c, errors.New("no Once-Key")
	}
	if !isToken(f.idempotencyKey) {
		return c, fmt.Errorf("Once-Key %.40q", f.idempotencyKey)
	}
	c.ID, c.Function, c.IdempotencyKey = f.id, f.function, f.idempotencyKey
	return c, parseSpec(f.spec, &c)
}

// parseSpec reads the further figures, as in memory_mb:512;lanes:2. Names that are not known are skipped.
func parseSpec(spec string, c *dispatch.Call) error {
	if spec == "" {
		return nil
	}
	for part := range strings.SplitSeq(spec, ";") {
		name, value, ok := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(x) || x < 0 || x > math.MaxInt32 {
			return fmt.Errorf("X-Spec %.40q", part)
		}
		switch name {
		case "memory_mb":
			c.MemoryMB = x
		case "lanes":
			c.Concurrency = int(x)
		case "load_ms":
			c.LoadTime = time.Duration(x * float64(time.Millisecond))
		}
	}
	return nil
}

func isHex16(s string) bool {
	if len(s) != 16 {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// isToken reports whether a key can stand in a list of fields. An empty one stands for none.
func isToken(s string) bool {
	if len(s) > 128 {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return true
}
