package emulator

import "sync"

// Commit is a write that an engine of the PostgreSQL protocol has committed.
type Commit struct {
	Engine    string // name of the engine
	Session   string // remote address of the connection that the write was sent on
	Statement string // text of the write
}

// Store records the writes that engines have committed, in order. Engines that share a store stand for
// replicas of one database. A nil store records nothing.
type Store struct {
	mu      sync.Mutex
	commits []Commit
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{} }

// commit records the writes of one transaction.
func (s *Store) commit(engine, session string, writes []string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, statement := range writes {
		s.commits = append(s.commits, Commit{Engine: engine, Session: session, Statement: statement})
	}
}

// Commits returns all writes that were committed so far, in order.
func (s *Store) Commits() []Commit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Commit(nil), s.commits...)
}

// Count returns how often a write was committed.
func (s *Store) Count(statement string) (n int) {
	for _, commit := range s.Commits() {
		if commit.Statement == statement {
			n++
		}
	}
	return n
}
