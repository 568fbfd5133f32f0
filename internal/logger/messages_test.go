package logger

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// logPage returns docs/LOGS.md as the code says it.
func logPage() string {
	var b strings.Builder
	b.WriteString("# Log lines of a node on the platform\n\n")
	b.WriteString("Each line is one JSON object with `Time`, `Level`, `Message` and `Node`. `RequestID` is the id that a job's\n")
	b.WriteString("caller chose, `Token` the fencing token of the dispatcher that decided. This page is made from\n")
	b.WriteString("`pkg/manager/logmessages.go`; a test compares them.\n\n")
	b.WriteString("| message | written by | meaning |\n| --- | --- | --- |\n")
	for _, m := range manager.LogMessages() {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", m.Message, strings.ToLower(m.Role), m.Meaning)
	}
	return b.String()
}

func TestLogPageIsTrue(t *testing.T) {
	file := filepath.Join("..", "..", "docs", "LOGS.md")
	if os.Getenv("WRITE_DOCS") != "" {
		require.NoError(t, os.WriteFile(file, []byte(logPage()), 0o600))
	}
	page, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, logPage(), string(page))
}

// Lines that tell of decisions take their message from the list, so that the page names them all.
func TestLogLinesUseTheList(t *testing.T) {
	literal := regexp.MustCompile(`(klog\.(InfoS|ErrorS)\((err, )?|d\.(log|logMinor)\()"`)
	var sources []string
	for _, pattern := range []string{
		"../../pkg/manager/dispatcher/*.go", "../coordinator/*.go", "../finder/*.go", "../assembler/fleet*.go", "../../platform/*.go",
	} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, files, pattern)
		sources = append(sources, files...)
	}
	for _, file := range sources {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Empty(t, literal.FindString(string(data)), file)
	}
	var names []string
	for _, m := range manager.LogMessages() {
		names = append(names, m.Message)
	}
	require.Len(t, slices.Compact(slices.Sorted(slices.Values(names))), len(names), "a message is listed twice")
}
