package takeover

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gannetspur/internal/decide/adminstate"
	decide "gannetspur/internal/decide/takeover"

	"github.com/google/go-cmp/cmp"
)

// storedStates holds the states in the files of testdata, which version c18a9bd wrote. Processes of two
// versions read each other's files while one takes over from the other.
var storedStates = map[string]State{
	"waiting.state": {Process: decide.Process{ID: "17-1", StartedAt: 90 * time.Hour}, Overrides: adminstate.Overrides{}},
	"serving.state": {
		Process:   decide.Process{ID: "18-2", StartedAt: 91 * time.Hour, Ready: true, ShuttingDown: true, KnownProcesses: []string{"17-1", "19-3"}, StateWritten: true},
		Overrides: adminstate.Overrides{"s-1": {Disabled: true, At: time.Minute}}, EventSourceChecksum: 1<<63 + 5, ProcessState: []byte("what it knows"),
	},
	"returned.state": {
		Process: decide.Process{ID: "19-3", Ready: true}, EventSourceChecksum: 7,
		Overrides: adminstate.Overrides{"s-1": {At: time.Hour, DisabledSince: time.Minute}},
	},
}

// readStoredFile returns the content of a file in testdata.
func readStoredFile(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Each stored file is decoded to its state, and the state is encoded to the same bytes. A file that is
// truncated or has a changed bit is an error.
func TestFilesOfStoredVersion(t *testing.T) {
	for name, want := range storedStates {
		t.Run(name, func(t *testing.T) {
			stored := readStoredFile(t, name)
			got, err := decodeState(stored)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(&want, got); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
			if written, err := encodeState(&want); err != nil || !bytes.Equal(written, stored) {
				t.Errorf("encodeState =\n%x, error %v, want\n%x", written, err, stored)
			}
			for cut := range stored {
				if _, err := decodeState(stored[:cut]); !errors.Is(err, errUnusableFile) {
					t.Errorf("decodeState of the first %d of %d bytes: error %v, want errUnusableFile", cut, len(stored), err)
				}
			}
			for i := range stored {
				for bit := range 8 {
					damaged := bytes.Clone(stored)
					damaged[i] ^= 1 << bit
					if _, err := decodeState(damaged); !errors.Is(err, errUnusableFile) {
						t.Errorf("decodeState with byte %d, bit %d changed: error %v, want errUnusableFile", i, bit, err)
					}
				}
			}
		})
	}
}

// The files of a process have the name suffixes that version c18a9bd uses, so that processes of both
// versions find each other's files.
func TestFileNames(t *testing.T) {
	dir := t.TempDir()
	a := openFolder(t, dir)
	if err := a.Write(testState(a)); err != nil {
		t.Fatal(err)
	}
	for _, suffix := range []string{".state", ".lock"} {
		if _, err := os.Stat(filepath.Join(dir, a.Self()+suffix)); err != nil {
			t.Errorf("file with suffix %s: %v, want it to exist", suffix, err)
		}
	}
}
