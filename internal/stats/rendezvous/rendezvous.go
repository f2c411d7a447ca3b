// Package rendezvous implements weighted rendezvous hashing, also called highest random weight hashing (Thaler and
// Ravishankar, 1998). Processes that have the same set of members agree on their order for a key, and a change of the
// set moves only the keys of the members that changed.
package rendezvous

import (
	"hash/fnv"
	"math"
)

// Parameters of the SplitMix64 finalizer.
const (
	mixShift1      = 30
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixShift2      = 27
	mixMultiplier2 = 0x94d049bb133111eb
	mixShift3      = 31
)

const (
	hashBits     = 64 // size of a hash in bits
	mantissaBits = 53 // precision of a float64 in bits
)

// halfStep moves the results of Uniform to the middle of each step between 0 and 1. This excludes 0, whose logarithm is
// infinite.
const halfStep = 0.5

// Score returns a member's score for a key; the member with the highest score comes first. A member comes first for a
// fraction of all keys equal to its weight divided by the sum of all weights. The weight must be above 0.
func Score(key, member string, weight float64) float64 {
	return -weight / math.Log(Uniform(key, member))
}

// Uniform returns a uniformly distributed number between 0 and 1, both excluded, that depends only on the key and the
// member.
func Uniform(key, member string) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(key + "\x00" + member))
	// FNV mixes the last bytes of its input poorly, so the hash goes through the SplitMix64 finalizer.
	mixed := splitMix64(hash.Sum64())
	return (float64(mixed>>(hashBits-mantissaBits)) + halfStep) / (1 << mantissaBits)
}

// splitMix64 is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>mixShift1) * mixMultiplier1
	x = (x ^ x>>mixShift2) * mixMultiplier2
	return x ^ x>>mixShift3
}
