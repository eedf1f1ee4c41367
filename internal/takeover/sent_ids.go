package takeover

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/sentkeys"
	"gannetspur/internal/netio"
)

// SentIDs exchanges, through files in a folder, ids and idempotency keys of requests that may have run among the processes
// of one front end. A process writes a line before it sends the request, so that another process that reads the files
// before it accepts a request sees all that was sent until then. Its journal tells the same to a process that starts after
// it has died. It implements core.SentIDExchange.
type SentIDs struct {
	folder  *Folder
	loop    *netio.Loop
	log     *slog.Logger
	journal *journal             // nil if it can't be created
	own     *os.File             // nil while there are no other processes, or if it can't be written
	others  map[string]*sentFile // by process ID
}

// newSentIDs returns an exchange without other processes, for the core.
func newSentIDs(folder *Folder, loop *netio.Loop, c *core.Core, log *slog.Logger) *SentIDs {
	s := &SentIDs{folder: folder, loop: loop, log: log, others: map[string]*sentFile{}}
	var err error
	s.journal, err = openJournal(folder.path(folder.self, journalSuffix), loop, c.AnnounceSent)
	if err != nil {
		s.log.Error("takeover.journal", "error", err, "then", "a process that starts after a kill does not know what was sent")
	}
	return s
}

// Announce tells the others, and a later process, of an id.
func (s *SentIDs) Announce(id string) { s.write(id) }

// Withdraw tells them that the request of an id never ran.
func (s *SentIDs) Withdraw(id string) { s.write(neverRanLinePrefix + id) }

// AnnounceKey tells them of an attempt of a request with an idempotency key.
func (s *SentIDs) AnnounceKey(change sentkeys.Change) { s.write(keyLine(change)) }

// Receive passes on what other processes have written since the last call.
func (s *SentIDs) Receive(receiver core.SentIDReceiver) {
	for _, other := range s.others {
		other.read(s.loop.Now(), receiver)
	}
}

// hasSent reports whether the journal has a line.
func (s *SentIDs) hasSent() bool { return s.journal != nil && !s.journal.empty() }

// write appends a line to the journal, and to the file of this process if there are others.
func (s *SentIDs) write(line string) {
	if s.journal != nil {
		s.journal.write(line)
	}
	if s.own == nil {
		return
	}
	if _, err := s.own.WriteString(line + "\n"); err != nil {
		s.log.Error("takeover.sent-ids", "error", err, "then", "a repeat at another process is not recognized")
	}
}

// update opens the files of the processes in the folder, and this process's own file while there are others. It reads
// the rest of the files of processes that have ended.
func (s *SentIDs) update(otherProcesses int, receiver core.SentIDReceiver) {
	found := map[string]bool{}
	for id, name := range s.folder.filesOfOthers(sentIDsSuffix) {
		found[id] = true
		if s.others[id] == nil {
			s.open(id, name)
		}
	}
	for id, other := range s.others {
		if !found[id] {
			other.read(s.loop.Now(), receiver)
			_ = other.file.Close() // nothing was written to it
			delete(s.others, id)
		}
	}
	s.updateOwn(otherProcesses > 0)
}

// open opens the file of another process.
func (s *SentIDs) open(id, name string) {
	file, err := os.Open(name)
	if err == nil {
		s.others[id] = &sentFile{file: file}
	} else if !errors.Is(err, os.ErrNotExist) {
		s.log.Error("takeover.sent-ids", "error", err, "then", "repeats of that process's requests are not recognized")
	}
}

// updateOwn creates this process's file when other processes appear, and removes it when they are gone.
func (s *SentIDs) updateOwn(wanted bool) {
	path := s.folder.path(s.folder.self, sentIDsSuffix)
	switch {
	case wanted && s.own == nil:
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY|os.O_TRUNC, 0o600)
		if err != nil {
			s.log.Error("takeover.sent-ids", "error", err, "then", "a repeat at another process is not recognized")
			return
		}
		s.own = file
	case !wanted && s.own != nil:
		_ = s.own.Close() // what it holds concerns processes that are gone
		s.own = nil
		_ = os.Remove(path) // a file that stays is truncated when it is needed again
	}
}

// takeJournalsOfDead reads and removes the journals of processes that have ended.
func takeJournalsOfDead(folder *Folder) (journals [][]byte) {
	for id, name := range folder.filesOfOthers(journalSuffix) {
		if folder.alive(id) {
			continue
		}
		content, err := os.ReadFile(name)
		if err == nil {
			journals = append(journals, content)
		}
		_ = os.Remove(name) // another process may have removed it
	}
	return journals
}

// filesOfOthers returns the paths of the other processes' files with the suffix, by process ID.
func (f *Folder) filesOfOthers(suffix string) map[string]string {
	files := map[string]string{}
	names, _ := filepath.Glob(f.path("*", suffix)) // fails for a malformed pattern only
	for _, name := range names {
		id := strings.TrimSuffix(filepath.Base(name), suffix)
		if id != f.self {
			files[id] = name
		}
	}
	return files
}
