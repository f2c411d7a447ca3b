package match

import (
	"maps"
	"slices"
)

// Weights of requirement.rank.
const (
	minSelectivePrefixBytes = 4    // shorter prefixes match many requests
	prefixRank              = 4    // per prefix; each value counts 1
	shortPrefixRank         = 1000 // added per prefix shorter than minSelectivePrefixBytes
)

// ruleIndex looks up the rules that can match a request. Each rule is indexed by its most selective requirement.
type ruleIndex struct {
	fields    map[string]*fieldIndex
	unindexed []int // rules without a requirement
}

// fieldIndex looks up rules by the value of one field.
type fieldIndex struct {
	byValue       map[string][]int
	byPrefix      map[string][]int
	prefixLengths []int // in ascending order, without duplicates
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

// field returns the index of a field and creates it if it does not exist.
func (x *ruleIndex) field(name string) *fieldIndex {
	if x.fields[name] == nil {
		x.fields[name] = &fieldIndex{byValue: map[string][]int{}, byPrefix: map[string][]int{}}
	}
	return x.fields[name]
}

// add indexes a rule, given by its number, under a requirement.
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

// mostSelective returns the requirement that the fewest requests are likely to satisfy. It prefers values over
// prefixes, few alternatives over many, and long prefixes over short ones.
func mostSelective(requirements []requirement) (best requirement, ok bool) {
	for _, required := range requirements {
		if !ok || required.rank() < best.rank() {
			best = required
			ok = true
		}
	}
	return best, ok
}

// rank estimates the selectivity of a requirement; a lower rank is more selective.
func (r requirement) rank() int {
	shortPrefixes := 0
	for _, prefix := range r.prefixes {
		if len(prefix) < minSelectivePrefixBytes {
			shortPrefixes++
		}
	}
	return len(r.values) + prefixRank*len(r.prefixes) + shortPrefixRank*shortPrefixes
}

// candidates returns the numbers of the rules that can match, sorted and without duplicates. It overwrites list.
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

// worstCost returns the worst-case cost of evaluating one request. This is the cost of all rules without a requirement,
// plus, for each field, the largest cost of the rules that a single value of the field can select.
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
	// A value begins with at most one of the prefixes of each length.
	worstByLength := map[int]int{}
	for prefix, list := range f.byPrefix {
		worstByLength[len(prefix)] = max(worstByLength[len(prefix)], costOf(list))
	}
	for _, cost := range worstByLength {
		worst += cost
	}
	return worst
}
