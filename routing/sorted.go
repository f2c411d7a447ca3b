package routing

import (
	"cmp"
	"slices"
)

// insertSorted inserts value into a list that is in the order of key, after the elements with an equal key.
func insertSorted[T any, K cmp.Ordered](list []T, value T, key func(T) K) []T {
	valueKey := key(value)
	i, _ := slices.BinarySearchFunc(list, valueKey, func(element T, target K) int {
		return cmp.Or(cmp.Compare(key(element), target), -1)
	})
	return slices.Insert(list, i, value)
}
