package explain

import (
	"encoding/json"
	"slices"
)

// names are names that a line holds as a string or as a list. A number, which is only a count,
// gives none.
type names []string

// UnmarshalJSON accepts all three forms.
func (n *names) UnmarshalJSON(b []byte) error {
	var many []string
	if err := json.Unmarshal(b, &many); err == nil {
		*n = many
		return nil
	}
	var one string
	if err := json.Unmarshal(b, &one); err == nil && one != "" {
		*n = names{one}
	}
	return nil
}

func (n names) has(name string) bool { return slices.Contains(n, name) }
