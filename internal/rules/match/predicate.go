package match

import (
	"fmt"

	"github.com/expr-lang/expr/vm"
)

// Predicate is a condition over something else than a request, loaded under the same bounds.
type Predicate struct{ code *compiledExpr }

// NewPredicate loads a condition over the fields of a schema, which are those of env, a pointer to a struct.
func NewPredicate(schema []Field, env any, source string) (*Predicate, *Refusal) {
	c := &compiler{schema: schema, env: env}
	loaded, refusal := c.compile(source, boolResult)
	if refusal != nil {
		return nil, refusal
	}
	return &Predicate{loaded}, nil
}

// Holds evaluates the condition. One that fails does not hold.
func (p *Predicate) Holds(env any) (holds bool, err error) {
	defer func() {
		if r := recover(); r != nil {
			holds, err = false, fmt.Errorf("evaluation: %v", r)
		}
	}()
	v, err := vm.Run(p.code.program, env)
	return v == true, err
}
