package history

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// History is all that was seen in one run.
type History struct {
	Phase    Phase
	Requests []Request
	Arrivals []Arrival
	Works    []Work
	Versions []Version
	Leavings []Leaving
	Restarts []Restart
	Ends     []End
	Limits   []Limit
	Lives    []Life
	HangUps  []HangUp
	Troubles []Trouble
	Kept     []Kept
}

// Write writes the history as JSON lines: objects with one field, that names what
// it holds.
func (h *History) Write(w io.Writer) error {
	out := json.NewEncoder(w)
	err := errors.Join(
		write(out, "phase", []Phase{h.Phase}), write(out, "version", h.Versions), write(out, "leaving", h.Leavings),
		write(out, "restart", h.Restarts), write(out, "end", h.Ends), write(out, "limit", h.Limits),
		write(out, "life", h.Lives), write(out, "hangUp", h.HangUps), write(out, "trouble", h.Troubles), write(out, "request", h.Requests),
		write(out, "arrival", h.Arrivals), write(out, "kept", h.Kept), write(out, "work", h.Works),
	)
	if err != nil {
		return fmt.Errorf("write the history: %w", err)
	}
	return nil
}

func write[T any](out *json.Encoder, name string, list []T) error {
	for _, one := range list {
		if err := out.Encode(map[string]T{name: one}); err != nil {
			return err
		}
	}
	return nil
}
