package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

const (
	// Shards is the number of stored objects that claims are distributed over.
	Shards = 32
	// keyBytes truncates the hash of a key to 96 bits: the probability of a collision
	// among a million keys is below 1 in 10^16.
	keyBytes = 12
)

// Key identifies a call that must run at most once, by client account and
// idempotency key.
type Key struct {
	sum [sha256.Size]byte
}

// NewKey returns the Key for the Idempotency-Key header of a client account.
func NewKey(account, key string) Key {
	return Key{sum: sha256.Sum256([]byte(account + "\x00" + key))}
}

// Shard returns the index of the object that stores the claim.
func (k Key) Shard() int { return int(binary.BigEndian.Uint16(k.sum[keyBytes:]) % Shards) }

// String returns the stored form of the key, a hash; the caller's text is not stored.
func (k Key) String() string { return base64.RawURLEncoding.EncodeToString(k.sum[:keyBytes]) }

// ShardName returns the name of a shard's object.
func ShardName(shard int) string { return fmt.Sprintf("%02d", shard) }
