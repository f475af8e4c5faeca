package digest

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dalebend/dalebend/internal/storerev"
)

// ErrMalformed means that a datagram can't be decoded in this format.
var ErrMalformed = errors.New("malformed datagram")

// Decode decodes a digest. The error is ErrTooLarge or ErrMalformed; the digest does not refer to
// data.
func Decode(data []byte) (*Digest, error) {
	var d *Digest
	err := decode(data, func(r *reader) {
		r.array(digestFields)
		d = r.digestFields()
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

// reader reads values until the first error; afterwards it returns zero values.
type reader struct {
	in  *bytes.Reader
	dec *msgpack.Decoder
	err error
}

// digestFields reads the fields of a digest.
func (r *reader) digestFields() *Digest {
	d := &Digest{}
	if f := r.int32(); f != format {
		r.fail(fmt.Errorf("unknown format %d", f))
	}
	d.Box, d.Addr, d.CallAddr, d.Domain = r.string(), r.string(), r.string(), r.string()
	d.Incarnation = r.int64()
	d.Seq = r.uint64()
	d.Strength = r.int32()
	d.IntervalMs = r.int32()
	d.Join = r.bool()
	d.ConfigVersion = r.int64()
	d.ConfigEra = r.int64()
	d.ViewRevision = r.revision(r.int64(), r.int64())
	d.CordonRevision = r.revision(r.int64(), r.int64())
	d.Cordoned = list(r, cordonFields, r.string)
	d.StoreTried = r.bool()
	d.StoreReachable = r.bool()
	d.StoreAgeMs = r.int32()
	d.Leaving = r.bool()
	d.Loads = list(r, loadFields, r.load)
	d.Troubles = list(r, troubleFields, r.trouble)
	d.Attempts = list(r, attemptsFields, r.attempts)
	d.Members = list(r, memberFields, r.member)
	if r.err == nil && (d.Box == "" || d.Addr == "") {
		r.fail(errors.New("sender missing"))
	}
	return d
}

// list reads an array of arrays that have a fixed number of fields.
func list[T any](r *reader, fields int, read func() T) []T {
	n := r.arrayLen()
	// An element takes one byte for its own length and at least one for each field.
	if r.err != nil || n <= 0 {
		return nil
	}
	if n > (r.in.Len()+1)/(1+fields) {
		r.fail(fmt.Errorf("array of %d in %d bytes", n, r.in.Len()))
		return nil
	}
	out := make([]T, 0, n)
	for range n {
		r.array(fields)
		out = append(out, read())
	}
	return out
}

func (r *reader) load() Load {
	return Load{
		Server:   r.string(),
		Streams:  r.int32(),
		Tokens:   r.int32(),
		Growth:   r.int32(),
		Prefill:  r.int32(),
		Copies:   r.int32(),
		Bare:     r.int32(),
		Arriving: r.int32(),
		Pace:     r.int32(),
	}
}

func (r *reader) trouble() ServerFailure {
	t := ServerFailure{Server: r.string(), AgeMs: r.int32()}
	kind := r.uint64()
	if kind > math.MaxUint8 {
		r.fail(fmt.Errorf("failure kind %d out of range", kind))
	}
	t.Kind = uint8(kind)
	return t
}

func (r *reader) attempts() Attempts {
	return Attempts{Service: r.string(), First: r.int32(), Second: r.int32()}
}

func (r *reader) member() Member {
	return Member{Name: r.string(), Addr: r.string(), CallAddr: r.string(), Domain: r.string()}
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// array reads an array header, whose length must be n.
func (r *reader) array(n int) {
	if got := r.arrayLen(); r.err == nil && got != n {
		r.fail(fmt.Errorf("array of %d values, want %d", got, n))
	}
}

func (r *reader) arrayLen() int { return take(r, r.dec.DecodeArrayLen) }

func (r *reader) string() string { return take(r, r.dec.DecodeString) }

func (r *reader) int64() int64 { return take(r, r.dec.DecodeInt64) }

// revision returns the revision of a change in an era.
func (r *reader) revision(era, number int64) storerev.Revision {
	rev, err := storerev.New(era, number)
	if err != nil {
		r.fail(err)
	}
	return rev
}

func (r *reader) uint64() uint64 { return take(r, r.dec.DecodeUint64) }

func (r *reader) bool() bool { return take(r, r.dec.DecodeBool) }

func (r *reader) int32() int32 {
	v := r.int64()
	if v < math.MinInt32 || v > math.MaxInt32 {
		r.fail(fmt.Errorf("%d does not fit into 32 bits", v))
		return 0
	}
	return int32(v)
}

func take[T any](r *reader, decode func() (T, error)) T {
	var zero T
	if r.err != nil {
		return zero
	}
	v, err := decode()
	if err != nil {
		r.fail(err)
		return zero
	}
	return v
}
