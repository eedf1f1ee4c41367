package takeover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The files of a process are its ID with these endings. Other versions use the same.
const (
	stateSuffix     = ".state"
	lockSuffix      = ".lock"
	temporarySuffix = ".part" // a state that is being written
)

// Folder is where the processes of one front end write their states. Each has a file of its own,
// and a lock on another for as long as it lives: the kernel releases it however the process ends.
type Folder struct {
	dir   string
	self  string // ID of this process
	lock  *os.File
	cache map[string]cachedState // by process
}

// cachedState is a file as it was read last.
type cachedState struct {
	file  fileIdentity
	state *State // nil: the file can't be used
}

// fileIdentity changes when a file is replaced.
type fileIdentity struct {
	modified time.Time
	size     int64
	inode    uint64
}

func (i fileIdentity) equal(other fileIdentity) bool {
	return i.modified.Equal(other.modified) && i.size == other.size && i.inode == other.inode
}

func identityOf(info os.FileInfo) fileIdentity {
	identity := fileIdentity{modified: info.ModTime(), size: info.Size()}
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		identity.inode = stat.Ino
	}
	return identity
}

// OpenFolder enters a folder, which is created if need be, under an ID that no other process has.
func OpenFolder(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	lock, err := os.CreateTemp(dir, fmt.Sprintf("%d-*%s", os.Getpid(), lockSuffix))
	if err == nil {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	}
	if err != nil {
		return nil, fmt.Errorf("takeover: lock: %w", err)
	}
	self := strings.TrimSuffix(filepath.Base(lock.Name()), lockSuffix)
	return &Folder{dir: dir, self: self, lock: lock, cache: map[string]cachedState{}}, nil
}

// Self is the ID of this process.
func (f *Folder) Self() string { return f.self }

func (f *Folder) path(id, suffix string) string { return filepath.Join(f.dir, id+suffix) }

// Write replaces this process's file, completely or not at all.
func (f *Folder) Write(s *State) error {
	b, err := encodeState(s)
	if err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	temporary := f.path(f.self, temporarySuffix)
	if err := os.WriteFile(temporary, b, 0o600); err != nil {
		_ = os.Remove(temporary) // what is there takes disk space that may be short
		return fmt.Errorf("takeover: %w", err)
	}
	if err := os.Rename(temporary, f.path(f.self, stateSuffix)); err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	return nil
}

// Others returns the states of the other living processes, as far as they can be read. The files
// of dead ones are removed.
func (f *Folder) Others() ([]State, error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	var states []State
	living := map[string]bool{}
	for _, entry := range entries {
		id, ok := strings.CutSuffix(entry.Name(), stateSuffix)
		if !ok || id == f.self {
			continue
		}
		if !f.alive(id) {
			f.removeFiles(id)
			continue
		}
		living[id] = true
		if s := f.read(id); s != nil {
			states = append(states, *s)
		}
	}
	for id := range f.cache {
		if !living[id] {
			delete(f.cache, id)
		}
	}
	return states, nil
}

// alive reports whether a process holds its lock. In doubt, as when no descriptor is left, it
// does, and nothing of it is removed.
func (f *Folder) alive(id string) bool {
	lock, err := os.Open(f.path(id, lockSuffix))
	if err != nil {
		return !errors.Is(err, os.ErrNotExist)
	}
	defer func() { _ = lock.Close() }()
	return errors.Is(syscall.Flock(int(lock.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}

// read returns another process's state, from the cache unless its file was replaced; nil if it
// can't be used.
func (f *Folder) read(id string) *State {
	path := f.path(id, stateSuffix)
	info, err := os.Stat(path)
	if err != nil || info.Size() > maxFileBytes {
		return nil
	}
	identity := identityOf(info)
	cached, ok := f.cache[id]
	if ok && cached.file.equal(identity) {
		return cached.state
	}
	cached = cachedState{file: identity, state: readStateFile(path, id)}
	f.cache[id] = cached
	return cached.state
}

// readStateFile returns the state in a file, or nil. A state under the name of another process
// is nobody's.
func readStateFile(path, id string) *State {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	s, err := decodeState(b)
	if err != nil || s.ID != id {
		return nil
	}
	return s
}

func (f *Folder) removeFiles(id string) {
	for _, suffix := range []string{stateSuffix, temporarySuffix, lockSuffix} {
		_ = os.Remove(f.path(id, suffix)) // not all are there
	}
}

// Close removes this process's files and releases its lock.
func (f *Folder) Close() {
	f.removeFiles(f.self)
	_ = f.lock.Close() // nothing was written to it
}
