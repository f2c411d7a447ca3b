// Package rendezvous scores members for a key by highest random weight (Thaler and Ravishankar, 1998), so that
// everybody who scores them alike orders them alike, and a change of the members moves only the keys that it must.
package rendezvous

import (
	"hash/fnv"
	"math"
)

// Score is a member's score for a key; the highest comes first. A member comes first for as many keys as its size,
// which is above 0, warrants among all sizes.
func Score(key, member string, size float64) float64 {
	return -size / math.Log(Uniform(key, member))
}

// Uniform is a figure between 0 and 1 for a key and a member, the same for everybody.
func Uniform(key, member string) float64 {
	h := fnv.New64a()
	h.Write([]byte(key + "\x00" + member))
	x := h.Sum64() // FNV mixes its last bytes badly: finish as SplitMix64 does
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}
