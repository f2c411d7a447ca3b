// Package rendezvous implements weighted rendezvous hashing, also called highest random weight (Thaler and Ravishankar,
// 1998): all who score the same members agree on their order for a key, and a change of the members moves only the keys
// of those that changed.
package rendezvous

import (
	"hash/fnv"
	"math"
)

// The parameters of SplitMix64's finalizer.
const (
	mixShift1      = 30
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixShift2      = 27
	mixMultiplier2 = 0x94d049bb133111eb
	mixShift3      = 31
)

const (
	hashBits     = 64 // size of a hash
	mantissaBits = 53 // precision of a float64
)

// halfStep puts Uniform's numbers in the middle of the steps between 0 and 1, since the logarithm of 0 is infinite.
const halfStep = 0.5

// Score returns a member's score for a key; the member with the highest score comes first. The fraction of keys for
// which a member comes first is its weight, which is above 0, divided by the sum of all weights.
func Score(key, member string, weight float64) float64 {
	return -weight / math.Log(Uniform(key, member))
}

// Uniform returns a uniformly distributed number between 0 and 1, both excluded, that depends on a key and a member
// alone.
func Uniform(key, member string) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(key + "\x00" + member))
	// FNV mixes its last bytes badly, so its hash goes through SplitMix64's finalizer.
	mixed := splitMix64(hash.Sum64())
	return (float64(mixed>>(hashBits-mantissaBits)) + halfStep) / (1 << mantissaBits)
}

// splitMix64 is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>mixShift1) * mixMultiplier1
	x = (x ^ x>>mixShift2) * mixMultiplier2
	return x ^ x>>mixShift3
}
