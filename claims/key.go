package claims

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"golang.org/x/crypto/blake2b"
)

// Errors of ParseKey and Key.CheckAge.
var (
	ErrBadKey  = errors.New("claims: key is empty, too long or too far in the future")
	ErrExpired = errors.New("claims: key is older than the retention window")
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 256

// Key is a validated idempotency key.
type Key struct {
	Hash  KeyHash
	At    time.Time // time in the key; zero for an opaque key
	Timed bool      // whether the key carries a time
}

// ParseKey validates a key of a workspace. A time-ordered key (UUID version 7)
// carries its age, so that old segments of the log can be dropped safely. For an
// opaque key the window starts at its first use. It returns ErrBadKey or
// ErrExpired.
func ParseKey(workspace, key string, w Window, now time.Time) (Key, error) {
	if key == "" || len(key) > maxKeyBytes {
		return Key{}, ErrBadKey
	}
	k := Key{Hash: hashKey(workspace, key)}
	if id, err := uuid.Parse(key); err == nil && id.Version() == 7 {
		sec, nsec := id.Time().UnixTime()
		k.At, k.Timed = time.Unix(sec, nsec), true
	}
	return k, k.CheckAge(w, now)
}

// CheckAge returns ErrExpired for a timed key that is too old and ErrBadKey for one
// too far in the future. It is called again after the commit, because the key may
// have expired in the meantime.
func (k Key) CheckAge(w Window, now time.Time) error {
	if !k.Timed {
		return nil
	}
	if k.At.After(now.Add(w.Skew)) {
		return ErrBadKey
	}
	if k.At.Before(now.Add(-w.Retention)) {
		return ErrExpired
	}
	return nil
}

// time returns the value of Record.At for the key, in Unix milliseconds.
func (k Key) time(now time.Time) int64 {
	if k.Timed {
		return k.At.UnixMilli()
	}
	return now.UnixMilli()
}

// hashKey uses a collision-resistant hash, because a collision of two keys would
// refuse a valid request.
func hashKey(workspace, key string) KeyHash {
	sum := blake2b.Sum256([]byte(workspace + "\x00" + key))
	return KeyHash(sum[:16])
}

// ShardOf returns the shard of a key.
func ShardOf(k KeyHash, shards int) int { return int(xxhash.Sum64(k[:]) % uint64(shards)) }
