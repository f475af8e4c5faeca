package explain

import (
	"encoding/json"
	"slices"
)

// names are names that a line holds as a text or as a list of texts. A number, which
// stands for how many there are, gives none.
type names []string

// UnmarshalJSON takes any of the three forms.
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
