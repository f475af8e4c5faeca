// Package resumetoken creates and parses the event ids by which a caller resumes a stream on any
// box.
//
// A token consists of backend server, generation and offset. The first two are bound to the client
// account by an HMAC-SHA256 under the key of the configuration. The offset is not authenticated: a
// caller that changes it gets a different part of its own answer. Format: OFFSET.BASE64(server NUL
// generation).BASE64(mac).
package resumetoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strconv"
	"strings"
)

// encoding is strict, so that each place and MAC has exactly one encoded form.
var encoding = base64.RawURLEncoding.Strict()

// macBytes is the length of the truncated HMAC: 128 bits.
const macBytes = 16

// ErrInvalid is returned for a token that was not created by this fleet for the account.
var ErrInvalid = errors.New("resume token is not valid for this client account")

// Token is a position in a stream.
type Token struct {
	server     string
	generation string
	offset     uint64
}

// Server returns the backend server that runs the generation.
func (t Token) Server() string { return t.server }

// Generation returns the id of the generation at its backend server.
func (t Token) Generation() string { return t.generation }

// Offset returns the offset of the last token that the caller has.
func (t Token) Offset() uint64 { return t.offset }

// Suffix returns the part of a stream's tokens that does not depend on the offset: a token is the
// decimal offset followed by the suffix.
func Suffix(key []byte, account, server, generation string) string {
	place := server + "\x00" + generation
	return "." + encoding.EncodeToString([]byte(place)) +
		"." + encoding.EncodeToString(mac(key, account, place))
}

// Parse parses a token and checks that it was created with key for account.
func Parse(key []byte, account, s string) (Token, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return Token{}, ErrInvalid
	}
	offset, err := strconv.ParseUint(parts[0], 10, 64)
	if err != nil {
		return Token{}, ErrInvalid
	}
	place, err := encoding.DecodeString(parts[1])
	if err != nil {
		return Token{}, ErrInvalid
	}
	sum, err := encoding.DecodeString(parts[2])
	if err != nil || !hmac.Equal(sum, mac(key, account, string(place))) {
		return Token{}, ErrInvalid
	}
	server, generation, ok := strings.Cut(string(place), "\x00")
	if !ok {
		return Token{}, ErrInvalid
	}
	return Token{server: server, generation: generation, offset: offset}, nil
}

func mac(key []byte, account, place string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write([]byte(place))
	return h.Sum(nil)[:macBytes]
}
