package claims

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"golang.org/x/crypto/blake2b"
)

// Errors of keys.
var (
	ErrBadKey  = errors.New("claims: key is empty, too long or too far in the future")
	ErrExpired = errors.New("claims: key is older than the retention window")
)

// maxKey bounds an idempotency key, in bytes.
const maxKey = 256

// Key is a checked idempotency key.
type Key struct {
	Hash  KeyHash
	At    time.Time // time in the key; zero for an opaque one
	Timed bool
}

// ParseKey checks a key of a workspace. A time-ordered key (UUID version 7)
// carries its age, so that old segments of the log can be dropped safely; for
// an opaque key the window counts from its first use.
func ParseKey(workspace, key string, w Window, now time.Time) (Key, error) {
	if key == "" || len(key) > maxKey {
		return Key{}, ErrBadKey
	}
	k := Key{Hash: hashKey(workspace, key)}
	if id, err := uuid.Parse(key); err == nil && id.Version() == 7 {
		sec, nsec := id.Time().UnixTime()
		k.At, k.Timed = time.Unix(sec, nsec), true
	}
	return k, k.CheckAge(w, now)
}

// CheckAge refuses a timed key that is too old or too far in the future. It is
// checked again after the commit, which may have taken long.
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

// time returns what the record's At holds.
func (k Key) time(now time.Time) int64 {
	if k.Timed {
		return k.At.UnixMilli()
	}
	return now.UnixMilli()
}

// hashKey is collision-resistant: a collision would deny a request.
func hashKey(workspace, key string) KeyHash {
	sum := blake2b.Sum256([]byte(workspace + "\x00" + key))
	return KeyHash(sum[:16])
}

// ShardOf returns the shard of a key.
func ShardOf(k KeyHash, shards int) int { return int(xxhash.Sum64(k[:]) % uint64(shards)) }
