// Package succession lets a process that the platform starts beside one that serves take its
// place: state passes through a folder that both see. What they do is decided by decide/succession.
package takeover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gannetspur/internal/decide/adminstate"
	decide "gannetspur/internal/decide/takeover"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// State is what one process writes down for the others.
type State struct {
	decide.Process
	Bans   adminstate.Overrides
	Events uint64 // sum of what its configuration told of the roster; same where numbers of events are
	World  []byte // what it knows, as handover.Knowledge; nil: nobody waits for it
}

// A file is four bytes that name its kind, the version of what follows, a checksum (xxHash64,
// big-endian) and the state as CBOR.
const (
	magic     = "rwsu"
	version   = 1
	fileHead  = len(magic) + 1 + 8
	mostState = 8 << 20
)

var errFile = errors.New("no whole state of this version")

func encode(s *State) ([]byte, error) {
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	b := append(make([]byte, 0, fileHead+len(body)), magic...)
	b = binary.BigEndian.AppendUint64(append(b, version), xxhash.Sum64(body))
	return append(b, body...), nil
}

func decode(b []byte) (*State, error) {
	if len(b) < fileHead || len(b) > mostState || string(b[:len(magic)]) != magic || b[len(magic)] != version {
		return nil, errFile
	}
	body := b[fileHead:]
	if binary.BigEndian.Uint64(b[len(magic)+1:]) != xxhash.Sum64(body) {
		return nil, errFile
	}
	s := new(State)
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %w", errFile, err)
	}
	return s, nil
}

const (
	stateEnd = ".state"
	lockEnd  = ".lock"
	partEnd  = ".part"
)

// Folder is where the processes of one front end write. Each has a file of its own, and a
// lock on another for as long as it lives: the kernel lets go of it however the process ends.
type Folder struct {
	dir, self string
	lock      *os.File
	read      map[string]reading
}

// reading is a file as it was read last.
type reading struct {
	at    time.Time
	size  int64
	inode uint64
	state *State // nil: it can't be used
}

// Open enters a folder, which is made if need be, under a name that no other process has.
func Open(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("succession: %w", err)
	}
	lock, err := os.CreateTemp(dir, fmt.Sprintf("%d-*%s", os.Getpid(), lockEnd))
	if err == nil {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	}
	if err != nil {
		return nil, fmt.Errorf("succession: lock: %w", err)
	}
	return &Folder{dir: dir, self: strings.TrimSuffix(filepath.Base(lock.Name()), lockEnd), lock: lock, read: map[string]reading{}}, nil
}

// Self is the name of this process.
func (f *Folder) Self() string { return f.self }

// Write replaces this process's file, whole or not at all.
func (f *Folder) Write(s *State) error {
	b, err := encode(s)
	if err != nil {
		return fmt.Errorf("succession: %w", err)
	}
	part := filepath.Join(f.dir, f.self+partEnd)
	if err := os.WriteFile(part, b, 0o600); err != nil {
		_ = os.Remove(part) // what is there takes room that may be short
		return fmt.Errorf("succession: %w", err)
	}
	if err := os.Rename(part, filepath.Join(f.dir, f.self+stateEnd)); err != nil {
		return fmt.Errorf("succession: %w", err)
	}
	return nil
}

// Others are the states of the other processes that live, as far as they can be read. What
// dead ones have left is removed.
func (f *Folder) Others() ([]State, error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, fmt.Errorf("succession: %w", err)
	}
	var all []State
	there := map[string]bool{}
	for _, e := range entries {
		id, ok := strings.CutSuffix(e.Name(), stateEnd)
		if !ok || id == f.self {
			continue
		}
		if !f.alive(id) {
			for _, end := range []string{stateEnd, partEnd, lockEnd} {
				_ = os.Remove(filepath.Join(f.dir, id+end))
			}
			continue
		}
		there[id] = true
		if s := f.state(id); s != nil {
			all = append(all, *s)
		}
	}
	for id := range f.read {
		if !there[id] {
			delete(f.read, id)
		}
	}
	return all, nil
}

// alive tells whether a process holds its lock.
func (f *Folder) alive(id string) bool {
	lock, err := os.Open(filepath.Join(f.dir, id+lockEnd))
	if err != nil {
		return !errors.Is(err, os.ErrNotExist) // in doubt, as with no descriptor, nothing is removed
	}
	defer lock.Close()
	return errors.Is(syscall.Flock(int(lock.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}

// state reads another process's file, unless it is as it was.
func (f *Folder) state(id string) *State {
	path := filepath.Join(f.dir, id+stateEnd)
	info, err := os.Stat(path)
	if err != nil || info.Size() > mostState {
		return nil
	}
	now := reading{at: info.ModTime(), size: info.Size()}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		now.inode = sys.Ino
	}
	if last, ok := f.read[id]; ok && last.at.Equal(now.at) && last.size == now.size && last.inode == now.inode {
		return last.state
	}
	if b, err := os.ReadFile(path); err == nil {
		if s, err := decode(b); err == nil && s.ID == id { // under another's name it is nobody's
			now.state = s
		}
	}
	f.read[id] = now
	return now.state
}

// Close leaves the folder.
func (f *Folder) Close() {
	for _, end := range []string{stateEnd, partEnd, lockEnd} {
		_ = os.Remove(filepath.Join(f.dir, f.self+end))
	}
	_ = f.lock.Close()
}
