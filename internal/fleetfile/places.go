package fleetfile

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// places knows where the entries of lists stand in the text, so that a fault of the
// checks can be found as quickly as one of syntax.
type places map[string][]place

// place is a line and column, from 1.
type place struct{ line, column int }

// newPlaces reads where things stand; a text that cannot be read has no places.
func newPlaces(text []byte) places {
	p := make(places)
	file, err := parser.ParseBytes(text, 0)
	if err != nil || len(file.Docs) == 0 {
		return p
	}
	top, ok := file.Docs[0].Body.(*ast.MappingNode)
	if !ok {
		return p
	}
	for _, entry := range top.Values {
		section := entry.Key.String()
		pos := entry.Key.GetToken().Position
		p[section] = append(p[section], place{line: pos.Line, column: pos.Column})
		list, ok := entry.Value.(*ast.SequenceNode)
		if !ok {
			continue
		}
		for _, item := range list.Values {
			pos := item.GetToken().Position
			p[section] = append(p[section], place{line: pos.Line, column: pos.Column})
		}
	}
	return p
}

// of returns "[LINE:COLUMN] " for entry i of a section, from 0, or for the section
// itself with -1; empty when it is not known.
func (p places) of(section string, i int) string {
	list := p[section]
	if i+1 >= len(list) {
		return ""
	}
	at := list[i+1]
	return fmt.Sprintf("[%d:%d] ", at.line, at.column)
}
