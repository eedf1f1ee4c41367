package queryshape

import (
	"fmt"
	"os"
	"path/filepath"
)

// ReadSnapshot reads a snapshot file.
func ReadSnapshot(path string) (*Snapshot, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	s, err := DecodeSnapshot(b)
	if err != nil {
		return nil, fmt.Errorf("read snapshot %s: %w", path, err)
	}
	return s, nil
}

// Write replaces a snapshot file atomically: it writes and syncs a temporary file in the same
// directory and renames it. After a crash the file is the old one or the new one, never a partial
// one.
func (s *Snapshot) Write(path string) error {
	b, err := s.Encode()
	if err != nil {
		return err
	}
	temporary, err := writeTemporary(path, b)
	if err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary)
		return fmt.Errorf("write snapshot: %w", err)
	}
	syncDirectory(filepath.Dir(path))
	return nil
}

// writeTemporary writes and syncs a temporary file in the directory of path and returns its name.
// On an error it removes the file.
func writeTemporary(path string, b []byte) (name string, err error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return "", err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return "", err
	}
	return f.Name(), nil
}

// syncDirectory makes a rename within a directory durable, if the file system supports that.
// Errors are ignored: the file itself is already complete.
func syncDirectory(path string) {
	d, err := os.Open(path)
	if err != nil {
		return
	}
	_ = d.Sync()
	_ = d.Close()
}
