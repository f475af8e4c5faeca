package viewshare

// kind is what is fetched.
type kind uint8

const (
	configKind kind = iota
	viewKind
	kinds
)

// String names the kind in logs.
func (k kind) String() string {
	if k == configKind {
		return "configuration"
	}
	return "view"
}
