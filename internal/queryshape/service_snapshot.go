package queryshape

import (
	"errors"
	"io/fs"
	"os"
)

// loadSnapshot restores the snapshot file of the settings; nil: there is none that can be used.
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
		aside := file + ".unusable"
		s.log.Warn("shapes.snapshot-unusable", "file", file, "error", err, "aside", aside, "rename", os.Rename(file, aside))
		return nil
	}
	s.log.Info("shapes.restored", "file", file, "shapes", estimator.Len())
	return estimator
}

func (s *Service) scheduleSnapshot() {
	s.loop.Timers.Add(s.loop.Now()+s.settings.SnapshotInterval, func() {
		s.Save()
		s.scheduleSnapshot()
	})
}

// Save writes a snapshot in the background, if the settings name a file. Only one is written at a
// time, so that a disk that hangs blocks one goroutine; it ends with the write and reports to the
// loop.
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

func (s *Service) saved(err error) {
	s.saving = false
	if err != nil {
		s.counters.Inc("shapes.snapshot-failed")
		s.log.Warn("shapes.snapshot-failed", "file", s.settings.SnapshotFile, "error", err)
		return
	}
	s.counters.Inc("shapes.snapshots")
}

// Encode returns a snapshot for another process.
func (s *Service) Encode() ([]byte, error) { return s.estimator.Snapshot().Encode() }

// Restore goes on from what Encode returned in another process. On an error the service keeps what
// it has learned.
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
