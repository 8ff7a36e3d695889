package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the position of a daemon among all, in an order that depends on the key. A trial of a
// part is made by one daemon after the other in the order of its fingerprint.
func Rank(self string, daemons []string, key uint64) int {
	own, rank := orderOf(self, key), 0
	for _, name := range daemons {
		if orderOf(name, key) < own {
			rank++
		}
	}
	return rank
}

func orderOf(daemon string, key uint64) uint64 {
	return xxhash.Sum64String(daemon + "/" + strconv.FormatUint(key, 16))
}
