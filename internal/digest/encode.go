package digest

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dalebend/dalebend/internal/storerev"
)

const (
	// MaxBytes is the size of the largest datagram. It is well under the 64 KiB of UDP and still
	// holds some 200 loads.
	MaxBytes = 8 << 10
	// format must change with the fields; a box rejects digests of another format.
	format = 8
	// digestFields, loadFields and those after it are array lengths on the wire.
	digestFields   = 25
	loadFields     = 9
	troubleFields  = 3
	attemptsFields = 3
	memberFields   = 4
	cordonFields   = 1
)

// ErrTooLarge means that the encoded datagram exceeds MaxBytes.
var ErrTooLarge = errors.New("encoded message is too large for a datagram")

// Encode encodes a digest. The error is ErrTooLarge if the datagram would exceed MaxBytes.
func Encode(d *Digest) ([]byte, error) {
	return encode(func(w *writer) { w.digest(d) })
}

// encode returns the output of write. The error is ErrTooLarge if that exceeds MaxBytes.
func encode(write func(w *writer)) ([]byte, error) {
	var buf bytes.Buffer
	w := &writer{buf: &buf, enc: msgpack.GetEncoder()}
	defer msgpack.PutEncoder(w.enc)
	w.enc.Reset(&buf)
	w.enc.UseCompactInts(true)
	write(w)
	if w.err != nil {
		return nil, fmt.Errorf("encode datagram: %w", w.err)
	}
	if buf.Len() > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, buf.Len())
	}
	return buf.Bytes(), nil
}

// writer writes values until the first error.
type writer struct {
	buf *bytes.Buffer
	enc *msgpack.Encoder
	err error
}

func (w *writer) digest(d *Digest) {
	w.array(digestFields)
	w.int(format)
	w.strings(d.Box, d.Addr, d.CallAddr, d.Domain)
	w.int(d.Incarnation)
	w.uint(d.Seq)
	w.int(int64(d.Strength))
	w.int(int64(d.IntervalMs))
	w.bool(d.Join)
	w.int(d.ConfigVersion)
	w.int(d.ConfigEra)
	w.revision(d.ViewRevision)
	w.revision(d.CordonRevision)
	w.cordons(d.Cordoned)
	w.bool(d.StoreTried)
	w.bool(d.StoreReachable)
	w.int(int64(d.StoreAgeMs))
	w.bool(d.Leaving)
	w.loads(d.Loads)
	w.troubles(d.Troubles)
	w.attempts(d.Attempts)
	w.array(len(d.Members))
	for _, m := range d.Members {
		w.array(memberFields)
		w.strings(m.Name, m.Addr, m.CallAddr, m.Domain)
	}
}

func (w *writer) cordons(domains []string) {
	w.array(len(domains))
	for _, d := range domains {
		w.array(cordonFields)
		w.strings(d)
	}
}

func (w *writer) loads(loads []Load) {
	w.array(len(loads))
	for i := range loads {
		w.load(&loads[i])
	}
}

func (w *writer) troubles(troubles []ServerFailure) {
	w.array(len(troubles))
	for _, t := range troubles {
		w.array(troubleFields)
		w.strings(t.Server)
		w.int(int64(t.AgeMs))
		w.uint(uint64(t.Kind))
	}
}

func (w *writer) attempts(attempts []Attempts) {
	w.array(len(attempts))
	for _, a := range attempts {
		w.array(attemptsFields)
		w.strings(a.Service)
		w.int(int64(a.First))
		w.int(int64(a.Second))
	}
}

// raw writes a value that is already encoded.
func (w *writer) raw(data []byte) {
	if w.err == nil {
		_, w.err = w.buf.Write(data)
	}
}

func (w *writer) load(l *Load) {
	w.array(loadFields)
	w.strings(l.Server)
	for _, v := range [...]int32{l.Streams, l.Tokens, l.Growth, l.Prefill, l.Copies, l.Bare, l.Arriving, l.Pace} {
		w.int(int64(v))
	}
}

func (w *writer) array(n int) {
	if w.err == nil {
		w.err = w.enc.EncodeArrayLen(n)
	}
}

func (w *writer) strings(list ...string) {
	for _, s := range list {
		if w.err == nil {
			w.err = w.enc.EncodeString(s)
		}
	}
}

func (w *writer) bytes(data []byte) {
	if w.err == nil {
		w.err = w.enc.EncodeBytes(data)
	}
}

func (w *writer) int(v int64) {
	if w.err == nil {
		w.err = w.enc.EncodeInt(v)
	}
}

// revision writes the era and the number as two values, which takes less than their sum.
func (w *writer) revision(r storerev.Revision) {
	w.int(r.Era())
	w.int(r.Number())
}

func (w *writer) uint(v uint64) {
	if w.err == nil {
		w.err = w.enc.EncodeUint(v)
	}
}

func (w *writer) bool(v bool) {
	if w.err == nil {
		w.err = w.enc.EncodeBool(v)
	}
}
