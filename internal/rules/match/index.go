package match

import (
	"maps"
	"slices"

	"github.com/expr-lang/expr/ast"
)

// literals is what a field must be, one of, for an expression to hold.
type literals struct {
	field  string // class, handler, path or method
	equal  []string
	prefix []string
}

var indexed = []string{"class", "handler", "path", "method"}

// needs finds what must hold for an expression to be true, as far as the index can use it.
func needs(node ast.Node) []literals {
	n, ok := node.(*ast.BinaryNode)
	if !ok {
		return nil
	}
	name := func(n ast.Node) string {
		if id, ok := n.(*ast.IdentifierNode); ok && slices.Contains(indexed, id.Value) {
			return id.Value
		}
		return ""
	}
	switch n.Operator {
	case "&&", "and":
		return append(needs(n.Left), needs(n.Right)...)
	case "||", "or":
		// Both sides must need something of one field: then one of the two is needed.
		for _, a := range needs(n.Left) {
			for _, b := range needs(n.Right) {
				if a.field == b.field {
					return []literals{{
						a.field, append(slices.Clone(a.equal), b.equal...),
						append(slices.Clone(a.prefix), b.prefix...),
					}}
				}
			}
		}
	case "==":
		for _, p := range [][2]ast.Node{{n.Left, n.Right}, {n.Right, n.Left}} {
			if s, ok := p[1].(*ast.StringNode); ok && name(p[0]) != "" {
				return []literals{{name(p[0]), []string{s.Value}, nil}}
			}
		}
	case "startsWith":
		if s, ok := n.Right.(*ast.StringNode); ok && name(n.Left) != "" {
			return []literals{{name(n.Left), nil, []string{s.Value}}}
		}
	case "in":
		list, ok := n.Right.(*ast.ArrayNode)
		if !ok || name(n.Left) == "" {
			return nil
		}
		l := literals{field: name(n.Left)}
		for _, m := range list.Nodes {
			s, ok := m.(*ast.StringNode)
			if !ok {
				return nil
			}
			l.equal = append(l.equal, s.Value)
		}
		return []literals{l}
	}
	return nil
}

// index finds the few rules that can hold for a request, by what they need of one field each.
type index struct {
	fields map[string]*fieldIndex
	always []int // rules that need nothing the index knows
}

type fieldIndex struct {
	equal   map[string][]int
	prefix  map[string][]int
	lengths []int // of the prefixes, each once
}

func newIndex(rules []*rule) *index {
	x := &index{fields: map[string]*fieldIndex{}}
	for i, r := range rules {
		l, ok := best(r.when.needs)
		if !ok {
			x.always = append(x.always, i)
			continue
		}
		f := x.fields[l.field]
		if f == nil {
			f = &fieldIndex{equal: map[string][]int{}, prefix: map[string][]int{}}
			x.fields[l.field] = f
		}
		for _, s := range uniq(l.equal) {
			f.equal[s] = append(f.equal[s], i)
		}
		for _, s := range uniq(l.prefix) {
			f.prefix[s] = append(f.prefix[s], i)
		}
	}
	for _, f := range x.fields {
		lengths := map[int]bool{}
		for s := range f.prefix {
			lengths[len(s)] = true
		}
		f.lengths = slices.Sorted(maps.Keys(lengths))
	}
	return x
}

func uniq(list []string) []string {
	list = slices.Clone(list)
	slices.Sort(list)
	return slices.Compact(list)
}

// best is the need that tells requests apart best: equality before prefixes, few literals before many, long
// prefixes before short ones.
func best(list []literals) (b literals, ok bool) {
	rank := func(l literals) int {
		short := 0
		for _, p := range l.prefix {
			if len(p) < 4 {
				short++
			}
		}
		return len(l.equal) + 4*len(l.prefix) + 1000*short
	}
	for _, l := range list {
		if !ok || rank(l) < rank(b) {
			b, ok = l, true
		}
	}
	return b, ok
}

// candidates is the rules that can hold, in order, each once.
func (x *index) candidates(e *env, list []int) []int {
	list = append(list[:0], x.always...)
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
		list = append(list, f.equal[value]...)
		for _, n := range f.lengths {
			if n > len(value) {
				break
			}
			list = append(list, f.prefix[value[:n]]...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
