package journaler_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
)

func openJournal(t *testing.T, j *journaler.Journal) []string {
	t.Helper()
	var records []string
	require.NoError(t, j.Open(func(record []byte) error {
		records = append(records, string(record))
		return nil
	}))
	return records
}

func TestJournalWritesUnsyncedRecordAgain(t *testing.T) {
	for _, operation := range []string{"write", "sync", "truncate"} {
		folder := t.TempDir()
		d := &refusingDisk{}
		j := &journaler.Journal{Folder: folder, Disk: d}
		require.Empty(t, openJournal(t, j))
		require.NoError(t, j.Append([]byte("first")))
		refused := operation
		if operation == "truncate" {
			refused = "sync"
		}
		d.refuse = refuseOnly(refused, "log", errDisk)
		require.ErrorIs(t, j.Append([]byte("second")), journaler.ErrUnwritten)
		d.refuse = refuseOnly(operation, "log", errDisk)
		require.ErrorIs(t, j.Append([]byte("second")), journaler.ErrUnwritten)
		d.refuse = nil
		require.NoError(t, j.Append([]byte("second")))
		require.NoError(t, j.Append([]byte("third")))
		require.NoError(t, j.Close())
		err := j.Append([]byte("fourth"))
		require.ErrorIs(t, err, os.ErrClosed)
		require.NotErrorIs(t, err, journaler.ErrUnwritten)
		d.losePower(t)
		require.Equal(t, []string{"first", "second", "third"}, openJournal(t, &journaler.Journal{Folder: folder}))
	}
}

func TestJournalWritesUnsyncedRecordAgainAtTheStart(t *testing.T) {
	folder := t.TempDir()
	d := &refusingDisk{}
	killed := &journaler.Journal{Folder: folder, Disk: d}
	openJournal(t, killed)
	require.NoError(t, killed.Append([]byte("first")))
	d.refuse = refuseOnly("sync", "log", errDisk)
	require.ErrorIs(t, killed.Append([]byte("second")), journaler.ErrUnwritten)
	require.NoError(t, killed.Close())
	d.refuse = nil
	second := &journaler.Journal{Folder: folder, Disk: d}
	require.Equal(t, []string{"first", "second"}, openJournal(t, second))
	require.NoError(t, second.Close())
	d.losePower(t)
	require.Equal(t, []string{"first", "second"}, openJournal(t, &journaler.Journal{Folder: folder}))
}
