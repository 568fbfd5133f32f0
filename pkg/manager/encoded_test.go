package manager_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Guards against sizes that are counted before characters are escaped.
func TestEncodedLenIsThatOfTheJSONString(t *testing.T) {
	var every strings.Builder
	for b := range 256 {
		every.WriteByte(byte(b))
	}
	for _, s := range []string{"", "a", every.String(), "é€\u2028\u2029\U0001F600", "\xff\xc3", "\ufffd", strings.Repeat("\x01<\"", 100)} {
		data, err := json.Marshal(s)
		require.NoError(t, err)
		require.Equal(t, len(data)-2, manager.EncodedLen(s), "%q", s)
	}
}
