// Package sorted keeps slices in order.
package sorted

import (
	"cmp"
	"slices"
)

// Insert puts a value into a slice that is in the order of what key returns, behind those with the same key.
func Insert[T any, K cmp.Ordered](list []T, v T, key func(T) K) []T {
	k := key(v)
	i, _ := slices.BinarySearchFunc(list, k, func(e T, k K) int { return cmp.Or(cmp.Compare(key(e), k), -1) })
	return slices.Insert(list, i, v)
}
