package decoder_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager/decoder"
)

const whole = `{"version":7}`

// far is more than any reader's buffer.
var far = strings.Repeat(" \n", 1<<20)

// Guards against texts that are accepted although something follows the value.
func TestTextWithMoreThanOneValueIsRefused(t *testing.T) {
	for _, rest := range []string{"}", "]", ",", ":", "{", "[", `"`, "0", "null", "x", "}}", "]]", whole, "\x00", "//", "}" + far, "\ufeff"} {
		for _, gap := range []string{"", " ", "\n\t\r", far} {
			var v map[string]any
			require.Error(t, decoder.Unmarshal([]byte(whole+gap+rest), &v), "%.20q", rest)
			require.Error(t, decoder.Read(strings.NewReader(whole+gap+rest), 1<<23, &v), "%.20q", rest)
		}
	}
	for _, text := range []string{"", " ", whole[:len(whole)-1], "\ufeff" + whole, "}" + whole} {
		var v map[string]any
		require.Error(t, decoder.Unmarshal([]byte(text), &v), "%q", text)
	}
}

func TestWholeTextIsDecoded(t *testing.T) {
	for _, text := range []string{whole, " " + whole + "\n", far + whole + far} {
		var v map[string]any
		require.NoError(t, decoder.Unmarshal([]byte(text), &v))
		require.NoError(t, decoder.Read(strings.NewReader(text), 1<<23, &v))
		require.EqualValues(t, 7, v["version"])
	}
	var v map[string]any
	require.ErrorIs(t, decoder.Read(strings.NewReader(whole+" "), int64(len(whole)), &v), decoder.ErrTooLong)
	require.NoError(t, decoder.Read(strings.NewReader(whole), int64(len(whole)), &v))
}

// Guards against names that differ in bytes which can't be read and are taken for the same.
func TestTextThatIsNoUnicodeIsRefused(t *testing.T) {
	for _, text := range []string{"\xff", "\xc3", "\xed\xa0\x80", "\xc0\xaf", `\ud800`, `\udc00`, `\ud800x`, `\ud800\ud800`, `\uD83D\u0041`, `\\\ud800`} {
		var v map[string]any
		err := decoder.Unmarshal([]byte(`{"a":"`+text+`"}`), &v)
		require.ErrorIs(t, err, decoder.ErrEncoding, "%q", text)
	}
	for text, want := range map[string]string{`\ud83d\ude00`: "😀", "é😀": "é😀", `\\ud800`: `\ud800`, `\u00e9\n\"`: "é\n\"", `\ufffd`: "\ufffd"} {
		var v map[string]any
		require.NoError(t, decoder.Unmarshal([]byte(`{"a":"`+text+`"}`), &v), text)
		require.Equal(t, want, v["a"])
	}
}
