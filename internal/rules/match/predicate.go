package match

import "github.com/expr-lang/expr/vm"

// Predicate is a condition over something else than a request, loaded within the same limits.
type Predicate struct{ condition *compiledExpr }

// NewPredicate loads a condition over the fields of a schema. env is a pointer to the struct that has these fields,
// each with its name in an expr tag.
func NewPredicate(schema []Field, env any, source string) (*Predicate, *ExpressionError) {
	c := &compiler{schema: schema, environment: env}
	condition, exprErr := c.compile(source, boolResult)
	if exprErr != nil {
		return nil, exprErr
	}
	return &Predicate{condition: condition}, nil
}

// Holds evaluates the condition. One whose evaluation fails does not hold.
func (p *Predicate) Holds(env any) (holds bool, err error) {
	value, err := p.condition.evaluate(&vm.VM{}, env)
	return value == true, err
}
