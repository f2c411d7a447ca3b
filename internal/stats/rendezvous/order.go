package rendezvous

import (
	"cmp"
	"slices"
)

// Order returns members in the order of their scores for a key, ties by id. Everybody who knows the same members
// by the same ids and sizes gets the same order.
func Order[T any](key string, members []T, of func(T) (id string, size float64)) []T {
	type scored struct {
		member T
		id     string
		score  float64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		id, size := of(m)
		all[i] = scored{m, id, Score(key, id, size)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	order := make([]T, len(all))
	for i, s := range all {
		order[i] = s.member
	}
	return order
}
