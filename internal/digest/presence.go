package digest

// Presence is the presence report of a relay: the boxes of its failure domain that it has just
// received datagrams from. It replaces their individual heartbeats. The boxes are given as a bitmap
// over the sorted keys of the failure domain's boxes, which sender and receiver compute
// independently.
type Presence struct {
	// Key is the IncarnationKey of the relay, Seq rises by one with each of its reports.
	Key uint64
	Seq uint64
	// IndexChecksum is a checksum of the keys that the relay knows in its failure domain, in
	// ascending order. The bitmap can be decoded only by boxes that know the same keys.
	IndexChecksum uint64
	// Bitmap has a bit for each of these keys, set if the box is present; the first is the lowest
	// bit.
	Bitmap []byte
	// PresentKeys lists the keys of the boxes that are present. It replaces Bitmap in an answer to
	// a request.
	PresentKeys []uint64
}

// bitsPerByte is the number of positions in a byte of Bitmap.
const bitsPerByte = 8

// NewBitmap returns an empty bitmap for a number of positions.
func NewBitmap(positions int) []byte { return make([]byte, (positions+bitsPerByte-1)/bitsPerByte) }

// SetPresent marks the box at a position as present.
func (r *Presence) SetPresent(position int) {
	r.Bitmap[position/bitsPerByte] |= 1 << (position % bitsPerByte)
}

// IsPresent reports whether the box at a position is present.
func (r *Presence) IsPresent(position int) bool {
	at := position / bitsPerByte
	return at < len(r.Bitmap) && r.Bitmap[at]&(1<<(position%bitsPerByte)) != 0
}

// EncodePresence encodes a presence report as an item of a bundle.
func EncodePresence(presence *Presence) ([]byte, error) {
	return encode(func(w *writer) {
		w.array(presenceFields)
		w.int(formatPresence)
		w.uint(presence.Key)
		w.uint(presence.Seq)
		w.uint(presence.IndexChecksum)
		w.bytes(presence.Bitmap)
		w.keys(presence.PresentKeys)
	})
}

// presenceItem reads a presence report. One with keys answers a request, so it is never filtered
// out.
func (r *reader) presenceItem(filter Filter) *Presence {
	presence := &Presence{}
	presence.Key, presence.Seq = r.header(formatPresence)
	presence.IndexChecksum = r.uint64()
	presence.Bitmap = r.bytes()
	presence.PresentKeys = r.keys()
	if r.err != nil || len(presence.PresentKeys) == 0 && !filter.Presence(presence.Key, presence.Seq) {
		return nil
	}
	return presence
}
