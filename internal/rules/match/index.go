package match

import (
	"maps"
	"slices"

	"github.com/expr-lang/expr/ast"
)

// literals is what a field must be, one of, for an expression to hold.
type requirement struct {
	field    string // class, handler, path or method
	values   []string
	prefixes []string
}

var indexedFields = []string{"class", "handler", "path", "method"}

// needs finds what must hold for an expression to be true, as far as the index can use it.
func requirementsOf(node ast.Node) []requirement {
	n, ok := node.(*ast.BinaryNode)
	if !ok {
		return nil
	}
	name := func(n ast.Node) string {
		if id, ok := n.(*ast.IdentifierNode); ok && slices.Contains(indexedFields, id.Value) {
			return id.Value
		}
		return ""
	}
	switch n.Operator {
	case "&&", "and":
		return append(requirementsOf(n.Left), requirementsOf(n.Right)...)
	case "||", "or":
		// Both sides must need something of one field: then one of the two is needed.
		for _, a := range requirementsOf(n.Left) {
			for _, b := range requirementsOf(n.Right) {
				if a.field == b.field {
					return []requirement{{
						a.field, append(slices.Clone(a.values), b.values...),
						append(slices.Clone(a.prefixes), b.prefixes...),
					}}
				}
			}
		}
	case "==":
		for _, p := range [][2]ast.Node{{n.Left, n.Right}, {n.Right, n.Left}} {
			if s, ok := p[1].(*ast.StringNode); ok && name(p[0]) != "" {
				return []requirement{{name(p[0]), []string{s.Value}, nil}}
			}
		}
	case "startsWith":
		if s, ok := n.Right.(*ast.StringNode); ok && name(n.Left) != "" {
			return []requirement{{name(n.Left), nil, []string{s.Value}}}
		}
	case "in":
		list, ok := n.Right.(*ast.ArrayNode)
		if !ok || name(n.Left) == "" {
			return nil
		}
		l := requirement{field: name(n.Left)}
		for _, m := range list.Nodes {
			s, ok := m.(*ast.StringNode)
			if !ok {
				return nil
			}
			l.values = append(l.values, s.Value)
		}
		return []requirement{l}
	}
	return nil
}

// index finds the few rules that can hold for a request, by what they need of one field each.
type ruleIndex struct {
	fields    map[string]*fieldIndex
	unindexed []int // rules that need nothing the index knows
}

type fieldIndex struct {
	byValue       map[string][]int
	byPrefix      map[string][]int
	prefixLengths []int // of the prefixes, each once
}

func newRuleIndex(rules []*compiledRule) *ruleIndex {
	x := &ruleIndex{fields: map[string]*fieldIndex{}}
	for i, r := range rules {
		l, ok := mostSelective(r.when.requirements)
		if !ok {
			x.unindexed = append(x.unindexed, i)
			continue
		}
		f := x.fields[l.field]
		if f == nil {
			f = &fieldIndex{byValue: map[string][]int{}, byPrefix: map[string][]int{}}
			x.fields[l.field] = f
		}
		for _, s := range sortedUnique(l.values) {
			f.byValue[s] = append(f.byValue[s], i)
		}
		for _, s := range sortedUnique(l.prefixes) {
			f.byPrefix[s] = append(f.byPrefix[s], i)
		}
	}
	for _, f := range x.fields {
		lengths := map[int]bool{}
		for s := range f.byPrefix {
			lengths[len(s)] = true
		}
		f.prefixLengths = slices.Sorted(maps.Keys(lengths))
	}
	return x
}

func sortedUnique(list []string) []string {
	list = slices.Clone(list)
	slices.Sort(list)
	return slices.Compact(list)
}

// best is the need that tells requests apart best: equality before prefixes, few literals before many, long
// prefixes before short ones.
func mostSelective(list []requirement) (b requirement, ok bool) {
	rank := func(l requirement) int {
		short := 0
		for _, p := range l.prefixes {
			if len(p) < 4 {
				short++
			}
		}
		return len(l.values) + 4*len(l.prefixes) + 1000*short
	}
	for _, l := range list {
		if !ok || rank(l) < rank(b) {
			b, ok = l, true
		}
	}
	return b, ok
}

// candidates is the rules that can hold, in order, each once.
func (x *ruleIndex) candidates(e *environment, list []int) []int {
	list = append(list[:0], x.unindexed...)
	for field, f := range x.fields {
		value := ""
		switch field {
		case "class":
			value = e.Class
		case "handler":
			value = e.Handler
		case "path":
			value = e.Path
		case "method":
			value = e.Method
		}
		list = append(list, f.byValue[value]...)
		for _, n := range f.prefixLengths {
			if n > len(value) {
				break
			}
			list = append(list, f.byPrefix[value[:n]]...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
