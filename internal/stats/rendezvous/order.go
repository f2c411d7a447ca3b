package rendezvous

import (
	"cmp"
	"slices"
)

// Order returns the members sorted by descending score for the key, with ties broken by id. idAndWeight returns a
// member's id and its weight, which must be above 0. Callers that pass the same ids and weights get the same order.
func Order[T any](key string, members []T, idAndWeight func(T) (id string, weight float64)) []T {
	type scored struct {
		member T
		id     string
		score  float64
	}
	candidates := make([]scored, len(members))
	for i, member := range members {
		id, weight := idAndWeight(member)
		candidates[i] = scored{member, id, Score(key, id, weight)}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	order := make([]T, len(candidates))
	for i, candidate := range candidates {
		order[i] = candidate.member
	}
	return order
}
