package splitter

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrNotWhole reports text that is not one JSON array or object.
var ErrNotWhole = eris.New("is not a whole JSON array or object")

// split returns the parts between the commas of a JSON array or object without decoding them.
func split(data []byte) ([][]byte, error) {
	var parts [][]byte
	err := scan(data, func(part []byte) { parts = append(parts, part) })
	return parts, err
}

// scan calls found for each part between the commas of a JSON array or object.
func scan(data []byte, found func(part []byte)) error {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != '[' && data[0] != '{' {
		return ErrNotWhole
	}
	depth, start, quoted, escaped := 0, 1, false, false
	for i, c := range data {
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped, quoted = c == '\\', c != '"'
		case c == '"':
			quoted = true
		case c == '[' || c == '{':
			depth++
		case c == ',' && depth == 1:
			found(data[start:i])
			start = i + 1
		case c == ']' || c == '}':
			depth--
			if depth > 0 {
				continue
			}
			if i != len(data)-1 || c != data[0]+2 {
				return ErrNotWhole
			}
			if last := data[start:i]; start > 1 || len(bytes.TrimSpace(last)) > 0 {
				found(last)
			}
			return nil
		}
	}
	return ErrNotWhole
}

// Count returns the number of elements of a JSON array.
func Count(data []byte) (int, error) {
	n := 0
	err := scan(data, func([]byte) { n++ })
	return n, err
}

// Elements returns the elements of a JSON array.
func Elements(data []byte) ([][]byte, error) {
	if data = bytes.TrimSpace(data); len(data) == 0 || data[0] != '[' {
		return nil, ErrNotWhole
	}
	return split(data)
}

// Member returns the value of a member of a JSON object, or nil if there is none.
func Member(data []byte, name string) ([]byte, error) {
	if data = bytes.TrimSpace(data); len(data) == 0 || data[0] != '{' {
		return nil, ErrNotWhole
	}
	parts, err := split(data)
	if err != nil {
		return nil, err
	}
	quoted, err := json.Marshal(name)
	if err != nil {
		return nil, fmt.Errorf("encode name: %w", err)
	}
	for _, p := range parts {
		rest, ok := bytes.CutPrefix(bytes.TrimSpace(p), quoted)
		if !ok {
			continue
		}
		if value, ok := bytes.CutPrefix(bytes.TrimSpace(rest), []byte(":")); ok {
			return bytes.TrimSpace(value), nil
		}
	}
	return nil, nil
}
