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

// storedStates are states whose files version c18a9bd wrote: testdata has their bytes. The
// processes of two versions read each other's files while one takes the other's place.
var storedStates = map[string]State{
	"waiting.state": {Process: decide.Process{ID: "17-1", StartedAt: 90 * time.Hour}, Overrides: adminstate.Overrides{}},
	"serving.state": {
		Process:   decide.Process{ID: "18-2", StartedAt: 91 * time.Hour, Ready: true, ShuttingDown: true, KnownProcesses: []string{"17-1", "19-3"}, StateWritten: true},
		Overrides: adminstate.Overrides{"s-1": {Disabled: true, At: time.Minute}}, EventSourceSum: 1<<63 + 5, ProcessState: []byte("what it knows"),
	},
	"returned.state": {
		Process: decide.Process{ID: "19-3", Ready: true}, EventSourceSum: 7,
		Overrides: adminstate.Overrides{"s-1": {At: time.Hour, DisabledSince: time.Minute}},
	},
}

func storedFile(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Each file is read to the same state, written anew byte for byte, and refused with any byte
// missing or any bit changed.
func TestFilesOfStoredVersion(t *testing.T) {
	for name, want := range storedStates {
		t.Run(name, func(t *testing.T) {
			stored := storedFile(t, name)
			got, err := decodeState(stored)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(&want, got); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
			if written, err := encodeState(&want); err != nil || !bytes.Equal(written, stored) {
				t.Errorf("written as\n%x, error %v, want\n%x", written, err, stored)
			}
			for cut := range stored {
				if _, err := decodeState(stored[:cut]); !errors.Is(err, errUnusableFile) {
					t.Errorf("cut at byte %d of %d: error %v", cut, len(stored), err)
				}
			}
			for i := range stored {
				for bit := range 8 {
					damaged := bytes.Clone(stored)
					damaged[i] ^= 1 << bit
					if _, err := decodeState(damaged); !errors.Is(err, errUnusableFile) {
						t.Errorf("byte %d, bit %d changed: error %v", i, bit, err)
					}
				}
			}
		})
	}
}

// A process finds the files of others under the names that version c18a9bd gives them.
func TestNamesInFolder(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir)
	if err := a.Write(stateOf(a)); err != nil {
		t.Fatal(err)
	}
	for _, end := range []string{".state", ".lock"} {
		if _, err := os.Stat(filepath.Join(dir, a.Self()+end)); err != nil {
			t.Error(err)
		}
	}
}
