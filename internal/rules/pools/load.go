package pools

import (
	"fmt"
	"slices"

	"calicohill/internal/rules/match"
	"calicohill/routing"
)

const maxPools = 256

// Directives in error messages.
const (
	poolDirective    = "pool"
	workersDirective = "workers"
)

// loader builds a Core and collects errors in the definitions.
type loader struct {
	core       *Core
	poolByName map[string]*pool
	errs       []match.RuleError
}

// Load compiles the definitions of pools and routes. It returns either a Core or all errors in the definitions.
func Load(pools []Pool, routes []Route) (*Core, []match.RuleError) {
	poolLoader := loader{
		core: &Core{
			routes:  map[string]*route{},
			serving: map[string]bool{},
			faults:  map[string]faultRecord{},
		},
		poolByName: map[string]*pool{},
	}
	if len(pools) > maxPools {
		poolLoader.addError(pools[maxPools].Position, poolDirective, "%d pools exceed the maximum of %d", len(pools), maxPools)
		return nil, poolLoader.errs
	}
	for _, definition := range pools {
		poolLoader.addPool(definition)
	}
	for _, definition := range routes {
		poolLoader.addRoute(definition)
	}
	if len(poolLoader.errs) > 0 {
		return nil, poolLoader.errs
	}
	return poolLoader.core, nil
}

func (l *loader) addError(position match.Position, directive, format string, args ...any) {
	l.errs = append(l.errs, match.RuleError{Position: position, Directive: directive, Reason: fmt.Sprintf(format, args...)})
}

func (l *loader) addPool(definition Pool) {
	condition, exprErr := match.NewPredicate(Schema, &Attributes{}, definition.Workers.Source)
	if exprErr != nil {
		l.errs = append(l.errs, definition.Workers.RuleError(workersDirective, exprErr))
	}
	p := &pool{condition: condition, members: map[string]bool{}}
	l.poolByName[definition.Name] = p
	l.core.pools = append(l.core.pools, p)
}

func (l *loader) addRoute(definition Route) {
	r := &route{levels: make([]routing.Pool, max(1, len(definition.Pools)))}
	for _, name := range definition.Pools {
		p := l.poolByName[name.Source]
		if p == nil {
			l.addError(name.Position, poolDirective, "pool %q is not defined", name.Source)
		} else if i := slices.Index(r.pools, p); i >= 0 {
			l.addError(name.Position, poolDirective, "pool %q is already pool %d of route %s", name.Source, i+1, definition.Name)
		}
		r.pools = append(r.pools, p)
	}
	l.core.routes[definition.Name] = r
}
