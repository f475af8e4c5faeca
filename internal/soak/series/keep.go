package series

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/dalebend/dalebend/internal/soak/run"
)

// fileMode is that of the files that are kept.
const fileMode = 0o644

// keep writes the history and the violations of a seed beside the boxes' logs, and
// prints the violations.
func (s *Series) keep(dir string, r *run.Result) error {
	var text []byte
	for _, v := range r.Violations {
		text = fmt.Appendln(text, v)
	}
	if _, err := s.Out.Write(text); err != nil {
		return fmt.Errorf("print violations: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "violations.txt"), text, fileMode); err != nil {
		return fmt.Errorf("keep violations: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, "history.jsonl"))
	if err != nil {
		return fmt.Errorf("keep the history: %w", err)
	}
	return errors.Join(r.History.Write(f), f.Close())
}
