// Package jsonsplit splits a JSON document into the members of its object or the elements of its array
// without decoding them.
//
// encoding/json rejects a whole document if one value in it is malformed or nested more than 10,000 levels
// deep. Split, each value can be decoded by itself, so that a bad one does not hide the others. The results
// refer to the document, and nothing is allocated in proportion to the depth of a value.
package jsonsplit

import (
	"bytes"
	"encoding/json"
	"errors"
)

// Errors of a document that cannot be split.
var (
	errNoObject   = errors.New("not a complete JSON object")
	errNoArray    = errors.New("not a complete JSON array")
	errUnbalanced = errors.New("a string or a bracket is not closed")
)

// Member is a member of an object.
type Member struct {
	Name string
	// Value is the text of its value, which may be malformed.
	Value json.RawMessage
}

// Members returns the members of an object in order. Members whose names are not JSON strings are left out.
func Members(doc []byte) ([]Member, error) {
	parts, err := split(doc, '{', '}', errNoObject)
	if err != nil {
		return nil, err
	}
	members := make([]Member, 0, len(parts))
	for _, part := range parts {
		end := stringEnd(part)
		rest := trim(part[end:])
		name, ok := unquote(part[:end])
		if len(rest) == 0 || rest[0] != ':' || !ok {
			continue
		}
		members = append(members, Member{Name: name, Value: trim(rest[1:])})
	}
	return members, nil
}

// unquote decodes a JSON string, and reports whether it is one.
func unquote(text []byte) (string, bool) {
	if plain := bytes.Trim(text, `"`); len(plain) == len(text)-2 && !bytes.ContainsFunc(plain, isSpecial) {
		return string(plain), true
	}
	var s string
	err := json.Unmarshal(text, &s)
	return s, err == nil
}

// isSpecial reports whether a character within a JSON string is not known to stand for itself.
func isSpecial(c rune) bool { return c < ' ' || c > '~' || c == '\\' || c == '"' }

// Elements returns the elements of an array in order, which may be malformed.
func Elements(doc []byte) ([]json.RawMessage, error) {
	parts, err := split(doc, '[', ']', errNoArray)
	if err != nil {
		return nil, err
	}
	elements := make([]json.RawMessage, len(parts))
	for i, part := range parts {
		elements[i] = part
	}
	return elements, nil
}

// split returns the texts between the commas of an object or an array, without blanks around them.
func split(doc []byte, opening, closing byte, wrongKind error) ([][]byte, error) {
	const brackets = 2
	doc = trim(doc)
	if len(doc) < brackets || doc[0] != opening || doc[len(doc)-1] != closing {
		return nil, wrongKind
	}
	inner := trim(doc[1 : len(doc)-1])
	if len(inner) == 0 {
		return nil, nil
	}
	var parts [][]byte
	begin := 0
	err := walk(inner, func(i, depth int) {
		if depth == 0 && inner[i] == ',' {
			parts = append(parts, trim(inner[begin:i]))
			begin = i + 1
		}
	})
	if err != nil {
		return nil, err
	}
	return append(parts, trim(inner[begin:])), nil
}

// Depth returns how many levels of objects and arrays a value has. Of a malformed one it counts those before the
// mistake.
func Depth(value []byte) int {
	deepest := 0
	_ = walk(value, func(_, depth int) { deepest = max(deepest, depth) })
	return deepest
}

// walk calls visit with the position of each bracket and comma outside strings, and the depth after it.
func walk(text []byte, visit func(i, depth int)) error {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			end := stringEnd(text[i:])
			if end == 0 {
				return errUnbalanced
			}
			i += end - 1
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case ',':
		default:
			continue
		}
		if depth < 0 {
			return errUnbalanced
		}
		visit(i, depth)
	}
	if depth > 0 {
		return errUnbalanced
	}
	return nil
}

// stringEnd returns the length of the string that text begins with, 0 if it begins with none or the string
// is not closed.
func stringEnd(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return 0
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

// trim removes the blanks that JSON allows around a value.
func trim(text []byte) []byte {
	for len(text) > 0 && isBlank(text[0]) {
		text = text[1:]
	}
	for len(text) > 0 && isBlank(text[len(text)-1]) {
		text = text[:len(text)-1]
	}
	return text
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }
