package viewshare

// kind is a kind of document that is fetched.
type kind uint8

const (
	configKind kind = iota
	viewKind
	kinds
)

// String returns the name used in logs.
func (k kind) String() string {
	if k == configKind {
		return "configuration"
	}
	return "view"
}
