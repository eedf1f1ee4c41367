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

func open(t *testing.T, dir string) *Folder {
	t.Helper()
	f, err := OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func stateOf(f *Folder) *State {
	return &State{
		Process:   decide.Process{ID: f.Self(), StartedAt: time.Hour, Ready: true, KnownProcesses: []string{"x"}, StateWritten: true},
		Overrides: adminstate.Overrides{"s-1": {Disabled: true, At: time.Minute}}, EventSourceSum: 1 << 63, ProcessState: []byte("world"),
	}
}

func others(t *testing.T, f *Folder) []State {
	t.Helper()
	all, err := f.Others()
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// A state is read complete or not at all: cut at any byte, with any byte changed, of another
// version, under another's name or of a process that is dead, there is none.
func TestOnlyCompleteStatesOfLivingProcesses(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir), open(t, dir)
	want := stateOf(a)
	if err := a.Write(want); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]State{*want}, others(t, b)); diff != "" {
		t.Fatal(diff)
	}
	path := filepath.Join(dir, a.Self()+stateSuffix)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range complete {
		if _, err := decodeState(complete[:cut]); err == nil {
			t.Errorf("taken, cut at byte %d of %d", cut, len(complete))
		}
		damaged := append([]byte(nil), complete...)
		damaged[cut] ^= 1
		if _, err := decodeState(damaged); err == nil {
			t.Errorf("taken, with byte %d changed", cut)
		}
	}
	put := func(b []byte) {
		t.Helper()
		if err := os.WriteFile(path+".new", b, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	put(complete[:len(complete)/2])
	if all := others(t, b); len(all) > 0 {
		t.Errorf("a torn file was taken: %v", all)
	}
	wrong, err := encodeState(stateOf(b))
	if err != nil {
		t.Fatal(err)
	}
	put(wrong)
	if all := others(t, b); len(all) > 0 {
		t.Errorf("a state under another's name was taken: %v", all)
	}
	put(complete)
	if all := others(t, b); len(all) != 1 {
		t.Errorf("%d states, want 1", len(all))
	}
	_ = a.lock.Close() // as the kernel does when it dies
	if all := others(t, b); len(all) > 0 {
		t.Errorf("a dead process's state was taken: %v", all)
	}
	if _, err := os.Stat(path); err == nil {
		t.Error("it lies there still")
	}
}

// Where there is no room for a new state the one before it stays complete, and nothing of the new one
// takes room.
func TestNoRoomForState(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir), open(t, dir)
	if err := a.Write(stateOf(a)); err != nil {
		t.Fatal(err)
	}
	part := filepath.Join(dir, a.Self()+temporarySuffix)
	if err := os.Symlink("/dev/full", part); err != nil {
		t.Fatal(err)
	}
	if err := a.Write(stateOf(a)); err == nil {
		t.Fatal("written where nothing can be")
	}
	if _, err := os.Lstat(part); err == nil {
		t.Error("the part lies there still")
	}
	if all := others(t, b); len(all) != 1 {
		t.Errorf("%d states, want 1", len(all))
	}
	if err := a.Write(stateOf(a)); err != nil { // there is room again
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
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
		again, err := encodeState(s)
		if err != nil {
			t.Fatal(err)
		}
		if s2, err := decodeState(again); err != nil || !cmp.Equal(s, s2) {
			t.Fatalf("%v became %v, %v", s, s2, err)
		}
	})
}
