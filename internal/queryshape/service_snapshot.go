package queryshape

import (
	"errors"
	"io/fs"
	"os"
)

// loadSnapshot restores an estimator from the configured snapshot file. It returns nil if there is
// no usable snapshot.
func (s *Service) loadSnapshot() *Estimator {
	file := s.settings.SnapshotFile
	if file == "" {
		return nil
	}
	snapshot, err := ReadSnapshot(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var estimator *Estimator
	if err == nil {
		estimator, err = Restore(s.options(), snapshot)
	}
	if err != nil {
		s.counters.Inc("shapes.snapshot-unusable")
		renamedTo := file + ".unusable"
		s.log.Warn("shapes.snapshot-unusable", "file", file, "error", err, "aside", renamedTo, "rename", os.Rename(file, renamedTo))
		return nil
	}
	s.log.Info("shapes.restored", "file", file, "shapes", estimator.Len())
	return estimator
}

// scheduleSnapshot sets a timer that writes a snapshot after each interval.
func (s *Service) scheduleSnapshot() {
	s.loop.Timers.Add(s.loop.Now()+s.settings.SnapshotInterval, func() {
		s.Save()
		s.scheduleSnapshot()
	})
}

// Save writes a snapshot in the background, if a file is configured. At most one is written at a
// time, so that a hanging disk blocks only one goroutine. The goroutine ends with the write and
// reports its result to the loop.
func (s *Service) Save() {
	if s.settings.SnapshotFile == "" || s.saving {
		return
	}
	s.saving = true
	snapshot := s.estimator.Snapshot()
	go func() {
		err := snapshot.Write(s.settings.SnapshotFile)
		s.loop.Post(func() { s.saved(err) })
	}()
}

// saved records the result of writing a snapshot.
func (s *Service) saved(err error) {
	s.saving = false
	if err != nil {
		s.counters.Inc("shapes.snapshot-failed")
		s.log.Warn("shapes.snapshot-failed", "file", s.settings.SnapshotFile, "error", err)
		return
	}
	s.counters.Inc("shapes.snapshots")
}

// Encode returns an encoded snapshot for another process.
func (s *Service) Encode() ([]byte, error) { return s.estimator.Snapshot().Encode() }

// Restore replaces what the service has learned by a snapshot that Encode returned in another
// process. On an error the service is unchanged.
func (s *Service) Restore(encoded []byte) error {
	snapshot, err := DecodeSnapshot(encoded)
	if err != nil {
		return err
	}
	estimator, err := Restore(s.options(), snapshot)
	if err != nil {
		return err
	}
	s.estimator = estimator
	return nil
}
