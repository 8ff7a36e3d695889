package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// trialSpacing is the time after which a further daemon may try a part of a prompt. It exceeds the time
// after which all daemons know of a trial.
const trialSpacing = 2 * time.Second

// TrialDelay returns how much later than due a daemon may try a part of a prompt. rank returns its
// position in an order of all daemons that depends on the key, see Rank; nil for a single daemon.
func TrialDelay(rank func(key uint64) int) func(part Fingerprint) time.Duration {
	if rank == nil {
		return nil
	}
	return func(part Fingerprint) time.Duration { return time.Duration(rank(uint64(part))) * trialSpacing }
}

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
