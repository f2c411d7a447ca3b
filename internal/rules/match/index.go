package match

import (
	"maps"
	"slices"
)

// How mostSelective ranks requirements.
const (
	minSelectivePrefixBytes = 4    // shorter prefixes hold for many requests
	prefixRank              = 4    // of each prefix; each value ranks 1
	shortPrefixRank         = 1000 // added for each prefix below minSelectivePrefixBytes
)

// ruleIndex finds the few rules that can match a request, by one requirement of each rule.
type ruleIndex struct {
	fields    map[string]*fieldIndex
	unindexed []int // rules without a requirement
}

// fieldIndex finds rules by the value of one field.
type fieldIndex struct {
	byValue       map[string][]int
	byPrefix      map[string][]int
	prefixLengths []int // ascending, each once
}

func newRuleIndex(rules []*compiledRule) *ruleIndex {
	index := &ruleIndex{fields: map[string]*fieldIndex{}}
	for i, r := range rules {
		required, ok := mostSelective(r.when.requirements)
		if !ok {
			index.unindexed = append(index.unindexed, i)
			continue
		}
		index.field(required.field).add(required, i)
	}
	for _, field := range index.fields {
		lengths := map[int]bool{}
		for prefix := range field.byPrefix {
			lengths[len(prefix)] = true
		}
		field.prefixLengths = slices.Sorted(maps.Keys(lengths))
	}
	return index
}

// field returns the index of a field, a new one if there is none yet.
func (x *ruleIndex) field(name string) *fieldIndex {
	if x.fields[name] == nil {
		x.fields[name] = &fieldIndex{byValue: map[string][]int{}, byPrefix: map[string][]int{}}
	}
	return x.fields[name]
}

// add adds a rule by its number.
func (f *fieldIndex) add(required requirement, rule int) {
	for _, value := range sortedUnique(required.values) {
		f.byValue[value] = append(f.byValue[value], rule)
	}
	for _, prefix := range sortedUnique(required.prefixes) {
		f.byPrefix[prefix] = append(f.byPrefix[prefix], rule)
	}
}

func sortedUnique(list []string) []string {
	list = slices.Clone(list)
	slices.Sort(list)
	return slices.Compact(list)
}

// mostSelective returns the requirement that fewest requests meet: values rank before prefixes, few before many, long
// prefixes before short ones.
func mostSelective(requirements []requirement) (best requirement, ok bool) {
	for _, required := range requirements {
		if !ok || required.rank() < best.rank() {
			best = required
			ok = true
		}
	}
	return best, ok
}

// rank is the lower the more selective the requirement is.
func (r requirement) rank() int {
	shortPrefixes := 0
	for _, prefix := range r.prefixes {
		if len(prefix) < minSelectivePrefixBytes {
			shortPrefixes++
		}
	}
	return len(r.values) + prefixRank*len(r.prefixes) + shortPrefixRank*shortPrefixes
}

// candidates returns the numbers of the rules that can match, in order, each once. It reuses the list.
func (x *ruleIndex) candidates(env *environment, list []int) []int {
	list = append(list[:0], x.unindexed...)
	for name, field := range x.fields {
		list = field.appendCandidates(list, env.indexedField(name))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (f *fieldIndex) appendCandidates(list []int, value string) []int {
	list = append(list, f.byValue[value]...)
	for _, length := range f.prefixLengths {
		if length > len(value) {
			break
		}
		list = append(list, f.byPrefix[value[:length]]...)
	}
	return list
}

// worstCost is the largest cost of the rules that one request can meet: all those without a requirement, and of the
// others those that one value of each field can satisfy.
func (x *ruleIndex) worstCost(rules []*compiledRule) int {
	costOf := func(list []int) int {
		cost := 0
		for _, i := range list {
			cost += rules[i].maxCost
		}
		return cost
	}
	worst := costOf(x.unindexed)
	for _, field := range x.fields {
		worst += field.worstCost(costOf)
	}
	return worst
}

func (f *fieldIndex) worstCost(costOf func([]int) int) int {
	worst := 0
	for _, list := range f.byValue {
		worst = max(worst, costOf(list))
	}
	// A value has at most one of the prefixes of each length.
	worstByLength := map[int]int{}
	for prefix, list := range f.byPrefix {
		worstByLength[len(prefix)] = max(worstByLength[len(prefix)], costOf(list))
	}
	for _, cost := range worstByLength {
		worst += cost
	}
	return worst
}
