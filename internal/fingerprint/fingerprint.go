// Package fingerprint computes a hash that identifies a request across its attempts, from the
// client account, the method, the host, the path with its query, and the body; and one that
// identifies a segment of prompts.
//
// The id of an attempt can't serve: callers generate a new one for each. Headers are left out,
// since some differ between attempts of one request. The account is included, so that no account
// can make its request pass for that of another.
package fingerprint

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/request"
)

// Fingerprint is the same for all attempts of a request, at all boxes. The chance that two requests
// of a fleet collide is about one in a thousand million million.
type Fingerprint uint64

// Of returns the fingerprint of an account's request, whose whole body must have been read.
func Of(r *request.Request, account string) Fingerprint {
	return Sum(account, r.Method, r.Host, r.URI, r.Body)
}

// Sum computes a fingerprint from the parts of a request. The URI is the path with its query.
func Sum(account, method, host, uri string, body []byte) Fingerprint {
	var h xxhash.Digest
	h.Reset()
	for _, s := range [...]string{account, method, host, uri} {
		_, _ = h.WriteString(s)
		// Strings of a request contain no zero byte, so the separator keeps them apart.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// segmentDomain keeps fingerprints of segments apart from those of requests: no account has this name.
const segmentDomain = "\x00segment"

// OfSegment returns the fingerprint of a prompt segment that a model of a service reads.
func OfSegment(service, model, hash string) Fingerprint {
	return Sum(segmentDomain, service, model, hash, nil)
}

// String returns the form used in logs and in the store.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
