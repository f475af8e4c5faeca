package partition

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// followInterval is the time between two looks at the file of the mode.
const followInterval = 20 * time.Millisecond

// Follow keeps the mode that a file names until the context ends. No file means no partition.
func (d *Dialer) Follow(path string) error {
	ticker := d.Clock.NewTicker(followInterval)
	defer ticker.Stop()
	now := None
	for {
		text, err := os.ReadFile(path)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("follow the partition: %w", err)
		}
		mode := None
		if len(text) > 0 {
			mode = Mode(text)
		}
		if mode != now {
			d.Cut(mode)
			now = mode
		}
		select {
		case <-d.Context.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// Write makes a box that follows a file change its mode.
func Write(path string, mode Mode) error {
	// A box that reads the file in between must not find it empty.
	next := path + ".next"
	if err := os.WriteFile(next, []byte(mode), fileMode); err != nil {
		return fmt.Errorf("write the partition: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("write the partition: %w", err)
	}
	return nil
}

// fileMode is that of the files.
const fileMode = 0o600
