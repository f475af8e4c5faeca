package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/dalebend/dalebend/internal/explain"
	"github.com/dalebend/dalebend/internal/settings"
)

// errNotFound tells that no line names the request.
var errNotFound = errors.New("no line names this request")

// logStory is the result of explain-log.
type logStory struct {
	*explain.Report
}

func (s *logStory) text(w io.Writer) { s.WriteText(w) }

func (c *Command) explainLog(cmd *settings.ExplainLogCmd) (result, error) {
	reader := &explain.Reader{Request: cmd.Request}
	if err := c.readLogs(reader, cmd.Files); err != nil {
		return nil, err
	}
	story := &logStory{reader.Report()}
	if !story.Found() {
		return story, fmt.Errorf("%w: %s", errNotFound, cmd.Request)
	}
	return story, nil
}

// logReader takes the lines of decision logs.
type logReader interface {
	Read(from io.Reader) error
}

// readLogs reads the files, or standard input without any.
func (c *Command) readLogs(reader logReader, paths []string) error {
	if len(paths) == 0 {
		return reader.Read(c.In)
	}
	for _, path := range paths {
		if err := readLog(reader, path); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

func readLog(reader logReader, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	// A file that was only read has nothing to lose when it is closed.
	defer func() { _ = f.Close() }()
	return reader.Read(f)
}
