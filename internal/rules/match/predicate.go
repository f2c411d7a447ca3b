package match

import "github.com/expr-lang/expr/vm"

// Predicate is a compiled condition on values other than requests. It is subject to the same limits as a rule's
// condition.
type Predicate struct{ condition *compiledExpr }

// NewPredicate compiles a condition on the fields of a schema. env is a pointer to a struct with these fields; their
// names are in expr tags.
func NewPredicate(schema []Field, env any, source string) (*Predicate, *ExpressionError) {
	c := &compiler{schema: schema, environment: env}
	condition, exprErr := c.compile(source, boolResult)
	if exprErr != nil {
		return nil, exprErr
	}
	return &Predicate{condition: condition}, nil
}

// Evaluate returns the value of the condition for env. After an error the value is false.
func (p *Predicate) Evaluate(env any) (satisfied bool, err error) {
	value, err := p.condition.evaluate(&vm.VM{}, env)
	return value == true, err
}
