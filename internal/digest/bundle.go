package digest

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Reach is how far the receiver forwards the items of a bundle.
type Reach uint8

const (
	// ReachBox is for the receiver alone.
	ReachBox Reach = iota
	// ReachDomain is for all boxes of the receiver's failure domain.
	ReachDomain
	// ReachFleet is for all boxes of all failure domains.
	ReachFleet
	reachCount
)

// Bundle carries items of several boxes, and requests for digests and presence reports.
type Bundle struct {
	// From is the name of the box that sent the bundle, and Addr its address.
	From string
	Addr string
	// Reach is how far the items are to be forwarded.
	Reach Reach
	// Items excludes those that the receiver's filter dropped.
	Items []Item
	// WantedDigests are the keys of the boxes whose digests the sender requests, and WantedPresence
	// those of the relays whose presence reports it requests, with keys instead of a bitmap.
	WantedDigests  []uint64
	WantedPresence []uint64
}

// Item is one part of a bundle, about one box.
type Item struct {
	// Exactly one of Digest, Update, Note and Presence is set.
	Digest   *Digest
	Update   *Update
	Note     *Note
	Presence *Presence
	// Raw is the encoded item, for forwarding unchanged.
	Raw []byte
}

func (i *Item) empty() bool {
	return i.Digest == nil && i.Update == nil && i.Note == nil && i.Presence == nil
}

// Note is a message that one box broadcasts once; this package does not interpret its data.
type Note struct {
	// Key is the IncarnationKey of the box, Seq rises by one with each of its notes.
	Key  uint64
	Seq  uint64
	Data []byte
}

// Filter tells the decoder of a bundle which items are new. Others are skipped.
type Filter interface {
	// Each method reports whether the item of that kind, key and sequence number is new.
	Update(key, seq uint64) bool
	Note(key, seq uint64) bool
	Presence(key, seq uint64) bool
}

const (
	// bundleFormat is the first value of a bundle, formatUpdate, formatNote and formatPresence
	// those of the other kinds. They differ from that of a digest.
	bundleFormat   = 69
	formatUpdate   = 65
	formatNote     = 66
	formatPresence = 68
	// bundleFields, updateFields, noteFields and presenceFields are array lengths on the wire.
	bundleFields = 7
	updateFields = 12
	// eraFields are those that an update has in addition if its versions are of different eras of the store.
	eraFields      = 2
	noteFields     = 4
	presenceFields = 6
	// BundleOverhead is the largest size of a bundle beyond its items, in bytes, when names and
	// addresses are under 64 bytes.
	BundleOverhead = 160
)

// Flags of an update.
const (
	flagTried = 1 << iota
	flagReachable
	flagLeaving
	flagForward
	// The era of the view stands above the flags, so that it takes no more room while it is below 8.
	eraShift = iota
)

// EncodeUpdate encodes an update as an item of a bundle.
func EncodeUpdate(u *Update) ([]byte, error) {
	return encode(func(w *writer) {
		ownEras := !u.oneEra()
		if ownEras {
			w.array(updateFields + eraFields)
		} else {
			w.array(updateFields)
		}
		w.int(formatUpdate)
		w.uint(u.Key)
		w.uint(u.Seq)
		w.int(u.ConfigVersion)
		w.int(u.ViewRevision.Number())
		w.int(u.CordonRevision.Number())
		w.cordons(u.Cordoned)
		w.uint(u.flags() | uint64(u.ViewRevision.Era())<<eraShift)
		w.int(int64(u.StoreAgeMs))
		w.loads(u.Loads)
		w.troubles(u.Troubles)
		w.attempts(u.Attempts)
		if ownEras {
			w.int(u.ConfigEra)
			w.int(u.CordonRevision.Era())
		}
	})
}

// EncodeNote encodes a note as an item of a bundle.
func EncodeNote(n *Note) ([]byte, error) {
	return encode(func(w *writer) {
		w.array(noteFields)
		w.int(formatNote)
		w.uint(n.Key)
		w.uint(n.Seq)
		w.bytes(n.Data)
	})
}

// oneEra reports whether the era of the view tells those of the configuration and the cordons, which have
// none if there are no such.
func (u *Update) oneEra() bool {
	era := u.ViewRevision.Era()
	config := u.ConfigEra == eraOf(u.ConfigVersion, era)
	return config && u.CordonRevision.Era() == eraOf(u.CordonRevision.Number(), era)
}

// eraOf returns an era, 0 for the version 0.
func eraOf(version, era int64) int64 {
	if version == 0 {
		return 0
	}
	return era
}

func (u *Update) flags() uint64 {
	flags := uint64(0)
	if u.StoreTried {
		flags |= flagTried
	}
	if u.StoreReachable {
		flags |= flagReachable
	}
	if u.Leaving {
		flags |= flagLeaving
	}
	if u.Forward {
		flags |= flagForward
	}
	return flags
}

// EncodeBundle encodes a bundle, whose items must have their Raw. The error is ErrTooLarge if the
// datagram would exceed MaxBytes.
func EncodeBundle(b *Bundle) ([]byte, error) {
	return encode(func(w *writer) {
		w.array(bundleFields)
		w.int(bundleFormat)
		w.strings(b.From, b.Addr)
		w.uint(uint64(b.Reach))
		w.keys(b.WantedDigests)
		w.keys(b.WantedPresence)
		w.array(len(b.Items))
		for i := range b.Items {
			w.raw(b.Items[i].Raw)
		}
	})
}

// IsBundle reports whether a datagram is a bundle rather than a digest.
func IsBundle(data []byte) bool {
	// A bundle begins with an array of bundleFields values, the first of them a small integer.
	const shortArray = 0x90
	return len(data) > 1 && data[0] == shortArray|bundleFields && data[1] == bundleFormat
}

// DecodeBundle decodes a bundle without the updates, notes and presence reports that the filter
// rejects. Digests are not filtered, as one sent on request may be as old as the last update. The
// error is ErrTooLarge or ErrMalformed; the bundle does not refer to data.
func DecodeBundle(data []byte, filter Filter) (*Bundle, error) {
	b := &Bundle{}
	err := decode(data, func(r *reader) {
		r.array(bundleFields)
		if f := r.int32(); f != bundleFormat {
			r.fail(fmt.Errorf("unknown bundle format %d", f))
		}
		b.From, b.Addr = r.string(), r.string()
		reach := r.uint64()
		if reach >= uint64(reachCount) {
			r.fail(fmt.Errorf("unknown reach %d", reach))
		}
		b.Reach = Reach(reach)
		b.WantedDigests, b.WantedPresence = r.keys(), r.keys()
		b.Items = r.items(data, filter)
		if r.err == nil && (b.From == "" || b.Addr == "") {
			r.fail(errors.New("sender missing"))
		}
	})
	if err != nil {
		return nil, err
	}
	return b, nil
}

func (w *writer) keys(keys []uint64) {
	w.array(len(keys))
	for _, key := range keys {
		w.uint(key)
	}
}

// keys reads an array of incarnation keys.
func (r *reader) keys() []uint64 {
	n := r.arrayLen()
	if r.err != nil || n <= 0 {
		return nil
	}
	if n > r.in.Len() {
		r.fail(fmt.Errorf("array of %d in %d bytes", n, r.in.Len()))
		return nil
	}
	out := make([]uint64, 0, n)
	for range n {
		out = append(out, r.uint64())
	}
	return out
}

// items reads the items that the filter accepts.
func (r *reader) items(data []byte, filter Filter) []Item {
	n := r.arrayLen()
	var out []Item
	for range n {
		if r.err != nil {
			return nil
		}
		begin := len(data) - r.in.Len()
		item := r.item(filter)
		if item.empty() {
			continue
		}
		item.Raw = bytes.Clone(data[begin : len(data)-r.in.Len()])
		out = append(out, item)
	}
	return out
}

// item reads an item. It is empty if the filter rejects it.
func (r *reader) item(filter Filter) Item {
	switch fields := r.arrayLen(); fields {
	case digestFields:
		return Item{Digest: r.digestFields()}
	case updateFields, updateFields + eraFields:
		return Item{Update: r.updateItem(filter, fields)}
	case noteFields:
		return Item{Note: r.noteItem(filter)}
	case presenceFields:
		return Item{Presence: r.presenceItem(filter)}
	default:
		r.fail(fmt.Errorf("unknown item with %d fields", fields))
		return Item{}
	}
}

// header reads the fields that an update, a note and a presence report begin with.
func (r *reader) header(format int32) (key, seq uint64) {
	if f := r.int32(); f != format {
		r.fail(fmt.Errorf("item format %d, want %d", f, format))
	}
	return r.uint64(), r.uint64()
}

// headerFields is the number of values in a header.
const headerFields = 3

func (r *reader) updateItem(filter Filter, fields int) *Update {
	u := &Update{}
	u.Key, u.Seq = r.header(formatUpdate)
	if r.err != nil || !filter.Update(u.Key, u.Seq) {
		r.skip(fields - headerFields)
		return nil
	}
	r.update(u, fields > updateFields)
	return u
}

func (r *reader) noteItem(filter Filter) *Note {
	n := &Note{}
	n.Key, n.Seq = r.header(formatNote)
	if r.err != nil || !filter.Note(n.Key, n.Seq) {
		r.skip(noteFields - headerFields)
		return nil
	}
	n.Data = r.bytes()
	return n
}

// update reads the fields of an update after the header. ownEras is set if it has eraFields.
func (r *reader) update(u *Update, ownEras bool) {
	u.ConfigVersion = r.int64()
	view, cordons := r.int64(), r.int64()
	u.Cordoned = list(r, cordonFields, r.string)
	flags := r.uint64()
	u.StoreTried = flags&flagTried != 0
	u.StoreReachable = flags&flagReachable != 0
	u.Leaving = flags&flagLeaving != 0
	u.Forward = flags&flagForward != 0
	u.StoreAgeMs = r.int32()
	u.Loads = list(r, loadFields, r.load)
	u.Troubles = list(r, troubleFields, r.trouble)
	u.Attempts = list(r, attemptsFields, r.attempts)
	era := int64(flags >> eraShift)
	cordonEra := eraOf(cordons, era)
	u.ConfigEra = eraOf(u.ConfigVersion, era)
	if ownEras {
		u.ConfigEra, cordonEra = r.int64(), r.int64()
	}
	u.ViewRevision, u.CordonRevision = r.revision(era, view), r.revision(cordonEra, cordons)
}

// bytes reads a byte string, which must not be longer than the datagram.
func (r *reader) bytes() []byte {
	n := take(r, r.dec.DecodeBytesLen)
	if r.err != nil || n <= 0 {
		return nil
	}
	if n > r.in.Len() {
		r.fail(fmt.Errorf("byte string of %d in %d bytes", n, r.in.Len()))
		return nil
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r.in, data); err != nil {
		r.fail(err)
	}
	return data
}

func (r *reader) skip(values int) {
	for range values {
		if r.err == nil {
			r.err = r.dec.Skip()
		}
	}
}

// decode decodes a datagram with read, which must consume all of it.
func decode(data []byte, read func(r *reader)) error {
	if len(data) > MaxBytes {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	in := bytes.NewReader(data)
	r := &reader{in: in, dec: msgpack.GetDecoder()}
	defer msgpack.PutDecoder(r.dec)
	r.dec.Reset(in)
	read(r)
	if r.err == nil && in.Len() > 0 {
		r.fail(fmt.Errorf("%d trailing bytes", in.Len()))
	}
	if r.err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, r.err)
	}
	return nil
}
