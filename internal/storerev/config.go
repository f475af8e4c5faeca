package storerev

import "cmp"

// ConfigVersion identifies a configuration document. The operator numbers the versions, and may give one
// number to two documents if the store loses the first: then the document of the later era counts.
type ConfigVersion struct {
	// Number is the operator's version, 0 if there is no configuration.
	Number int64
	// Era is the era of the store in which the document was last read.
	Era int64
}

// Compare returns -1 if v is older than other, 0 if they are equal, and 1 otherwise. A version that a later
// era lacks is not replaced by the lower one there: it was in force, and the operator writes it again.
func (v ConfigVersion) Compare(other ConfigVersion) int {
	return cmp.Or(cmp.Compare(v.Number, other.Number), cmp.Compare(v.Era, other.Era))
}

// Newer reports whether v is newer than other.
func (v ConfigVersion) Newer(other ConfigVersion) bool { return v.Compare(other) > 0 }
