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

// Write replaces a snapshot file atomically: it writes a temporary file beside it and renames that
// once it is synced. A crash leaves the old file or the new one, never a part.
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

// writeTemporary writes a synced file beside path and returns its name. On an error it leaves none.
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

// syncDirectory makes a rename within a directory durable, where the file system can do that.
func syncDirectory(path string) {
	d, err := os.Open(path)
	if err != nil {
		return
	}
	_ = d.Sync()
	_ = d.Close()
}
