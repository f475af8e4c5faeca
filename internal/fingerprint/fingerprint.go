// Package fingerprint names a request by what all attempts of it have in common: the client
// account, the method, the host, the path with its query, and the body.
//
// An attempt's own id tells nothing of that: callers draw a new one for each. Headers are left out,
// since some differ between attempts of one request. The account is part of it, so that no account
// can pass its request off as that of another.
package fingerprint

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/request"
)

// Fingerprint is the same number for all attempts of a request, at all boxes. Two requests of one
// fleet share one by chance once in some thousand million million.
type Fingerprint uint64

// Of returns the fingerprint of a request of an account, whose whole body must have been read.
func Of(r *request.Request, account string) Fingerprint {
	return Sum(account, r.Method, r.Host, r.URI, r.Body)
}

// Sum returns the fingerprint of a request of which only the parts are at hand. The URI is the path
// with its query.
func Sum(account, method, host, uri string, body []byte) Fingerprint {
	var h xxhash.Digest
	h.Reset()
	for _, s := range [...]string{account, method, host, uri} {
		_, _ = h.WriteString(s)
		// No text of a request holds a zero byte, so that texts do not run into each other.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// String is how logs and the store write it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
