package digest

// Roll says which boxes of a failure domain a relay there has just heard, in place of a heartbeat of
// each. It names them by their places in the list of the failure domain's boxes, which sender and
// receiver each make for themselves.
type Roll struct {
	// Start is the StartKey of the relay, Seq rises by one with each of its rolls.
	Start uint64
	Seq   uint64
	// Order is a checksum of the starts that the relay knows in its failure domain, in rising order.
	Order uint64
	// Present has a bit for each of these, set for one that was heard; the first is the lowest bit.
	Present []byte
	// Starts names those that were heard in place of Present, in the answer to a box that asked.
	Starts []uint64
}

// bitsPerByte is the number of places that a byte of Present has.
const bitsPerByte = 8

// NewPresent returns a Present for so many places.
func NewPresent(places int) []byte { return make([]byte, (places+bitsPerByte-1)/bitsPerByte) }

// SetPresent notes the box of a place as heard.
func (r *Roll) SetPresent(place int) { r.Present[place/bitsPerByte] |= 1 << (place % bitsPerByte) }

// IsPresent reports whether the box of a place was heard.
func (r *Roll) IsPresent(place int) bool {
	at := place / bitsPerByte
	return at < len(r.Present) && r.Present[at]&(1<<(place%bitsPerByte)) != 0
}

// EncodeRoll returns a roll as an item of a bundle.
func EncodeRoll(roll *Roll) ([]byte, error) {
	return encode(func(w *writer) {
		w.array(rollFields)
		w.int(formatRoll)
		w.uint(roll.Start)
		w.uint(roll.Seq)
		w.uint(roll.Order)
		w.bytes(roll.Present)
		w.starts(roll.Starts)
	})
}

// rollItem reads a roll. One that names starts answers a question, so it is always fresh.
func (r *reader) rollItem(fresh Fresh) *Roll {
	roll := &Roll{}
	roll.Start, roll.Seq = r.header(formatRoll)
	roll.Order = r.uint64()
	roll.Present = r.bytes()
	roll.Starts = r.starts()
	if r.err != nil || len(roll.Starts) == 0 && !fresh.Roll(roll.Start, roll.Seq) {
		return nil
	}
	return roll
}
