package fleetfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
)

// MaxBytes is the largest file that is read: the object API holds a megabyte.
const MaxBytes = 1 << 20

// Parse reads and checks one whole file. The error names every fault found by
// the checks, or the place of the first fault of syntax.
func Parse(b []byte) (*File, error) {
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("fleet file has %d bytes, at most %d are stored", len(b), MaxBytes)
	}
	f := &File{}
	dec := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict())
	if err := dec.Decode(f); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errors.New("fleet file is empty")
		}
		return nil, fmt.Errorf("fleet file: %s", yaml.FormatError(err, false, true))
	}
	if f.check(nil) != nil {
		// Places are worked out only for a file that is wrong.
		return nil, f.check(newPlaces(b))
	}
	return f, nil
}

// Marshal writes the file as YAML that Parse reads.
func Marshal(f *File) ([]byte, error) {
	b, err := yaml.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("write fleet file: %w", err)
	}
	return b, nil
}
