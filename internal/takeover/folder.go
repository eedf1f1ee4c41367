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

// The names of a process's files are its ID with these suffixes. Other versions use the same names.
const (
	stateSuffix     = ".state"
	lockSuffix      = ".lock"
	temporarySuffix = ".part" // a state that is being written
)

// Folder is a directory in which the processes of one front end write their states. Each process has a
// state file and a lock file. It holds the lock while it is alive; the kernel releases the lock
// however the process ends.
type Folder struct {
	dir   string
	self  string // ID of this process
	lock  *os.File
	cache map[string]cachedState // states of the other processes, by process ID
}

// cachedState is the content of a state file when it was last read.
type cachedState struct {
	identity fileIdentity
	state    *State // nil if the file is unusable
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

// OpenFolder opens a folder, and creates it if it does not exist. It gives this process an ID that no
// other process has, and locks its lock file.
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

// Self returns the ID of this process.
func (f *Folder) Self() string { return f.self }

func (f *Folder) path(id, suffix string) string { return filepath.Join(f.dir, id+suffix) }

// Write replaces this process's state file atomically: if it fails, the previous file is unchanged.
func (f *Folder) Write(s *State) error {
	b, err := encodeState(s)
	if err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	temporary := f.path(f.self, temporarySuffix)
	if err := os.WriteFile(temporary, b, 0o600); err != nil {
		_ = os.Remove(temporary) // a partial file takes disk space, which may be short
		return fmt.Errorf("takeover: %w", err)
	}
	if err := os.Rename(temporary, f.path(f.self, stateSuffix)); err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	return nil
}

// Others returns the states of the other processes that are alive, except those whose files are
// unusable. It removes the files of dead processes.
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

// alive reports whether a process holds its lock. If the lock file exists but can't be opened, for
// example because no descriptor is free, it returns true, so that no files of a living process are
// removed.
func (f *Folder) alive(id string) bool {
	lock, err := os.Open(f.path(id, lockSuffix))
	if err != nil {
		return !errors.Is(err, os.ErrNotExist)
	}
	defer func() { _ = lock.Close() }()
	return errors.Is(syscall.Flock(int(lock.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}

// read returns another process's state, from the cache unless its file was replaced. It returns nil if
// the file is unusable.
func (f *Folder) read(id string) *State {
	path := f.path(id, stateSuffix)
	info, err := os.Stat(path)
	if err != nil || info.Size() > maxFileBytes {
		return nil
	}
	identity := identityOf(info)
	cached, ok := f.cache[id]
	if ok && cached.identity.equal(identity) {
		return cached.state
	}
	cached = cachedState{identity: identity, state: readStateFile(path, id)}
	f.cache[id] = cached
	return cached.state
}

// readStateFile returns the state in a process's file, or nil if the file is unusable. A state with
// the ID of another process is unusable.
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

// removeFiles removes all files of a process.
func (f *Folder) removeFiles(id string) {
	f.removeFilesButJournal(id)
	_ = os.Remove(f.path(id, journalSuffix)) // it may not exist
}

// removeFilesButJournal removes the files of a process apart from its journal.
func (f *Folder) removeFilesButJournal(id string) {
	for _, suffix := range []string{stateSuffix, temporarySuffix, sentIDsSuffix, lockSuffix} {
		_ = os.Remove(f.path(id, suffix)) // some may not exist
	}
}

// Close removes this process's files and releases its lock.
func (f *Folder) Close() {
	f.removeFiles(f.self)
	f.unlock()
}

// CloseKeepingJournal is Close, but leaves the journal of what this process has sent to the next one that opens the folder.
func (f *Folder) CloseKeepingJournal() {
	f.removeFilesButJournal(f.self)
	f.unlock()
}

func (f *Folder) unlock() {
	_ = f.lock.Close() // nothing was written to it
}
