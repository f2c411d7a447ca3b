package match

import (
	"slices"

	"github.com/expr-lang/expr/ast"
)

// The fields that are indexed.
const (
	classField   = "class"
	handlerField = "handler"
	pathField    = "path"
	methodField  = "method"
)

var indexedFields = []string{classField, handlerField, pathField, methodField}

// requirement is a necessary condition for an expression to be true: the field equals one of the values or begins with
// one of the prefixes.
type requirement struct {
	field    string // one of indexedFields
	values   []string
	prefixes []string
}

// requirementsOf returns the requirements of an expression that the index can use.
func requirementsOf(node ast.Node) []requirement {
	condition, ok := node.(*ast.BinaryNode)
	if !ok {
		return nil
	}
	switch condition.Operator {
	case "&&", "and":
		return append(requirementsOf(condition.Left), requirementsOf(condition.Right)...)
	case "||", "or":
		return commonRequirement(requirementsOf(condition.Left), requirementsOf(condition.Right))
	case "==":
		if equal := equalRequirement(condition.Left, condition.Right); equal != nil {
			return equal
		}
		return equalRequirement(condition.Right, condition.Left)
	case "startsWith":
		return prefixRequirement(condition.Left, condition.Right)
	case "in":
		return listRequirement(condition.Left, condition.Right)
	}
	return nil
}

// indexedField returns the name of the indexed field that a node reads, or "" if it reads none.
func indexedField(node ast.Node) string {
	identifier, ok := node.(*ast.IdentifierNode)
	if !ok || !slices.Contains(indexedFields, identifier.Value) {
		return ""
	}
	return identifier.Value
}

// commonRequirement returns the requirement of a disjunction, or nil if its operands have no requirements on a common
// field. It is the union of the alternatives of both operands.
func commonRequirement(left, right []requirement) []requirement {
	for _, a := range left {
		for _, b := range right {
			if a.field == b.field {
				return []requirement{{
					field:    a.field,
					values:   slices.Concat(a.values, b.values),
					prefixes: slices.Concat(a.prefixes, b.prefixes),
				}}
			}
		}
	}
	return nil
}

// prefixRequirement returns the requirement of field.startsWith(prefix) with a constant prefix.
func prefixRequirement(field, prefix ast.Node) []requirement {
	name := indexedField(field)
	constant, ok := prefix.(*ast.StringNode)
	if !ok || name == "" {
		return nil
	}
	return []requirement{{field: name, prefixes: []string{constant.Value}}}
}

// equalRequirement returns the requirement of field == value with a constant value.
func equalRequirement(field, value ast.Node) []requirement {
	name := indexedField(field)
	constant, ok := value.(*ast.StringNode)
	if !ok || name == "" {
		return nil
	}
	return []requirement{{field: name, values: []string{constant.Value}}}
}

// listRequirement returns the requirement of field in list with a list of constants.
func listRequirement(field, list ast.Node) []requirement {
	name := indexedField(field)
	array, ok := list.(*ast.ArrayNode)
	if !ok || name == "" {
		return nil
	}
	required := requirement{field: name}
	for _, element := range array.Nodes {
		constant, ok := element.(*ast.StringNode)
		if !ok {
			return nil
		}
		required.values = append(required.values, constant.Value)
	}
	return []requirement{required}
}

// contradicts reports whether two requirements cannot be satisfied together because they require different values of
// one field. Prefixes are not compared.
func (r requirement) contradicts(other requirement) bool {
	if r.field != other.field || len(r.prefixes) > 0 || len(other.prefixes) > 0 {
		return false
	}
	return !slices.ContainsFunc(r.values, func(value string) bool { return slices.Contains(other.values, value) })
}
