package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// ErrEncoding reports text that is not Unicode. The standard decoder would replace what it can't read, so that different
// names or payloads would become the same.
var ErrEncoding = eris.New("is not valid Unicode text")

// ErrTrailing reports text after the value.
var ErrTrailing = eris.New("holds more than one value")

// ErrTooLong reports text with more bytes than are allowed.
var ErrTooLong = eris.New("is too long")

// Unmarshal decodes data, which must be one JSON value of valid Unicode text and nothing else but space.
func Unmarshal(data []byte, v any) error {
	if err := CheckEncoding(data); err != nil {
		return err
	}
	err := json.Unmarshal(data, v)
	if err == nil {
		return nil
	}
	var first json.RawMessage
	if _, ok := errors.AsType[*json.SyntaxError](err); ok && json.NewDecoder(bytes.NewReader(data)).Decode(&first) == nil {
		return ErrTrailing
	}
	return fmt.Errorf("decode JSON: %w", err)
}

// Read is Unmarshal of all that a reader returns, which may be limit bytes at most.
func Read(r io.Reader, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return fmt.Errorf("read JSON: %w", err)
	}
	if int64(len(data)) > limit {
		return ErrTooLong
	}
	return Unmarshal(data, v)
}

// CheckEncoding returns ErrEncoding if data holds bytes that are no UTF-8, or escapes half of a surrogate pair.
func CheckEncoding(data []byte) error {
	if !utf8.Valid(data) || hasLoneSurrogate(data) {
		return ErrEncoding
	}
	return nil
}

// escapeBytes is the length of an escape of a UTF-16 code unit, as in \u00e9.
const escapeBytes = 6

func hasLoneSurrogate(data []byte) bool {
	for {
		i := bytes.IndexByte(data, '\\')
		if i < 0 || i+1 >= len(data) {
			return false
		}
		data = data[i:]
		first, ok := escapedUnit(data)
		switch {
		case !ok:
			data = data[2:]
			continue
		case !utf16.IsSurrogate(first):
			data = data[escapeBytes:]
			continue
		}
		second, ok := escapedUnit(data[escapeBytes:])
		if !ok || utf16.DecodeRune(first, second) == utf8.RuneError {
			return true
		}
		data = data[2*escapeBytes:]
	}
}

// escapedUnit returns the UTF-16 code unit that is escaped at the start of data.
func escapedUnit(data []byte) (rune, bool) {
	if len(data) < escapeBytes || data[0] != '\\' || data[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(data[2:escapeBytes]), 16, 16)
	return rune(unit), err == nil
}
