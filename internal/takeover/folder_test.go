package takeover

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gannetspur/internal/decide/adminstate"
	decide "gannetspur/internal/decide/takeover"

	"github.com/google/go-cmp/cmp"
)

// openFolder opens a folder as another process would. It is closed when the test ends.
func openFolder(t *testing.T, dir string) *Folder {
	t.Helper()
	f, err := OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// testState returns a state with the ID that f has in its folder.
func testState(f *Folder) *State {
	return &State{
		Process:   decide.Process{ID: f.Self(), StartedAt: time.Hour, Ready: true, KnownProcesses: []string{"x"}, StateWritten: true},
		Overrides: adminstate.Overrides{"s-1": {Disabled: true, At: time.Minute}}, EventSourceChecksum: 1 << 63, ProcessState: []byte("world"),
	}
}

// otherStates returns the states that f.Others returns, and fails the test on an error.
func otherStates(t *testing.T, f *Folder) []State {
	t.Helper()
	all, err := f.Others()
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// Others returns only complete states of living processes. It ignores a state that is truncated at any
// byte, has a changed byte (in the version too) or is stored under another process's ID, and it removes
// the file of a dead process.
func TestOnlyCompleteStatesOfLivingProcesses(t *testing.T) {
	dir := t.TempDir()
	a, b := openFolder(t, dir), openFolder(t, dir)
	want := testState(a)
	if err := a.Write(want); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]State{*want}, otherStates(t, b)); diff != "" {
		t.Fatalf("states (-want +got):\n%s", diff)
	}
	path := filepath.Join(dir, a.Self()+stateSuffix)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range complete {
		if _, err := decodeState(complete[:i]); err == nil {
			t.Errorf("decodeState of the first %d of %d bytes: no error, want one", i, len(complete))
		}
		damaged := append([]byte(nil), complete...)
		damaged[i] ^= 1
		if _, err := decodeState(damaged); err == nil {
			t.Errorf("decodeState with byte %d changed: no error, want one", i)
		}
	}
	replaceFile := func(b []byte) {
		t.Helper()
		if err := os.WriteFile(path+".new", b, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	replaceFile(complete[:len(complete)/2])
	if all := otherStates(t, b); len(all) > 0 {
		t.Errorf("with a truncated file: got states %v, want none", all)
	}
	wrong, err := encodeState(testState(b))
	if err != nil {
		t.Fatal(err)
	}
	replaceFile(wrong)
	if all := otherStates(t, b); len(all) > 0 {
		t.Errorf("with a state under another process's ID: got states %v, want none", all)
	}
	replaceFile(complete)
	if all := otherStates(t, b); len(all) != 1 {
		t.Errorf("with the complete file again: got %d states, want 1", len(all))
	}
	_ = a.lock.Close() // as the kernel does when the process dies
	if all := otherStates(t, b); len(all) > 0 {
		t.Errorf("after the process's death: got states %v, want none", all)
	}
	if _, err := os.Stat(path); err == nil {
		t.Error("the dead process's state file still exists")
	}
}

// If the disk is full, Write fails, the previous state stays readable and no partial file takes disk
// space. Write succeeds again once there is space.
func TestWriteDiskFull(t *testing.T) {
	dir := t.TempDir()
	a, b := openFolder(t, dir), openFolder(t, dir)
	if err := a.Write(testState(a)); err != nil {
		t.Fatal(err)
	}
	temporary := filepath.Join(dir, a.Self()+temporarySuffix)
	if err := os.Symlink("/dev/full", temporary); err != nil {
		t.Fatal(err)
	}
	if err := a.Write(testState(a)); err == nil {
		t.Fatal("Write to a full device: no error, want one")
	}
	if _, err := os.Lstat(temporary); err == nil {
		t.Error("the temporary file still exists")
	}
	if all := otherStates(t, b); len(all) != 1 {
		t.Errorf("after the failed write: got %d states, want 1", len(all))
	}
	if err := a.Write(testState(a)); err != nil { // the link to /dev/full is gone
		t.Errorf("Write with free space: error %v, want none", err)
	}
}

// A state that can be decoded is encoded to a file that decodes to the same state; no input panics.
func FuzzDecodeState(f *testing.F) {
	b, err := encodeState(&State{Process: decide.Process{ID: "1"}, ProcessState: []byte{1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(fileMagic))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decodeState(b)
		if err != nil {
			return
		}
		encoded, err := encodeState(s)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decodeState(encoded); err != nil || !cmp.Equal(s, got) {
			t.Fatalf("state after encoding and decoding = %v, error %v, want %v", got, err, s)
		}
	})
}
