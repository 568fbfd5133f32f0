package manager

import "unicode/utf8"

// EncodedLen returns the length of a text as a JSON string without its quotes.
func EncodedLen(s string) int {
	const escaped = 6
	n := 0
	for i := 0; i < len(s); {
		b := s[i]
		if b < utf8.RuneSelf {
			n += encodedByteLen(b)
			i++
			continue
		}
		r, size := utf8.DecodeRuneInString(s[i:])
		i += size
		if r == utf8.RuneError && size == 1 || r == '\u2028' || r == '\u2029' {
			n += escaped
			continue
		}
		n += size
	}
	return n
}

func encodedByteLen(b byte) int {
	switch {
	case b == '"' || b == '\\' || b == '\b' || b == '\f' || b == '\n' || b == '\r' || b == '\t':
		return 2
	case b < ' ' || b == '<' || b == '>' || b == '&':
		return 6
	}
	return 1
}
