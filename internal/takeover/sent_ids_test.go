package takeover

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gannetspur/internal/decide/sentkeys"
	"gannetspur/policy"
)

// sentChange returns an attempt of a load that was sent at a time.
func sentChange(token string, sentAt time.Duration) sentkeys.Change {
	attempt := policy.PriorAttempt{SentAt: sentAt, Placement: policy.Placement{Engine: "e", Zone: "a"}, Scope: policy.DedupZone, Window: time.Minute}
	return sentkeys.Change{Key: sentkeys.Key{Class: "load", Token: token}, Attempt: attempt}
}

// dieWithoutClosing ends a process as a kill does: the kernel releases its lock, and its files stay.
func (c *Coordinator) dieWithoutClosing() { _ = c.folder.lock.Close() }

// TestSentIsReadAfterADeath guards against ids and keys that are forgotten with a killed process, against a safe request that
// is refused because its id is remembered though it never ran, and against instants of the dead process's clock that are
// mistaken for this one's, as the system's time was stepped.
func TestSentIsReadAfterADeath(t *testing.T) {
	const clockStep, tolerance = time.Hour, time.Second
	dir := t.TempDir()
	dead, loop := newCoordinator(t, dir, 0)
	dead.sent.Announce("ran")
	dead.sent.Announce("never-ran")
	dead.sent.Withdraw("never-ran")
	dead.sent.AnnounceKey(sentChange("a", loop.Now()))
	dead.dieWithoutClosing()
	next, nextLoop := newCoordinator(t, dir, clockStep)
	if !next.core.MayHaveRun("ran") || next.core.MayHaveRun("never-ran") {
		t.Errorf("may have run: %v and %v, want true and false", next.core.MayHaveRun("ran"), next.core.MayHaveRun("never-ran"))
	}
	keys := next.core.SentKeys()
	if len(keys) != 1 {
		t.Fatalf("remembered keys = %+v, want one", keys)
	}
	if age := nextLoop.Now() - keys[0].Attempt.SentAt; age < 0 || age > tolerance {
		t.Errorf("age of the key's attempt = %v, want from 0 to %v", age, tolerance)
	}
}

// TestSentBeforeTheMachineStarted checks that what was sent before the machine's latest start is ignored: how long ago that
// was is unknown.
func TestSentBeforeTheMachineStarted(t *testing.T) {
	dir := t.TempDir()
	dead, loop := newCoordinator(t, dir, 0)
	dead.sent.AnnounceKey(sentChange("a", loop.Now()))
	path := dead.folder.path(dead.folder.self, journalSuffix)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, bytes.Replace(content, []byte(bootID()), []byte("another-boot"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	dead.dieWithoutClosing()
	next, _ := newCoordinator(t, dir, 0)
	if keys := next.core.SentKeys(); len(keys) != 0 {
		t.Errorf("remembered keys = %+v, want none", keys)
	}
}

// TestFullJournalIsRewritten guards against ids that are forgotten with a process because its journal was full.
func TestFullJournalIsRewritten(t *testing.T) {
	dir := t.TempDir()
	dead, loop := newCoordinator(t, dir, 0)
	dead.core.RecordSentID("remembered", loop.Now())
	for range journalBytes / len("forgotten\n") {
		dead.sent.Announce("forgotten")
	}
	dead.sent.Announce("later")
	dead.dieWithoutClosing()
	next, _ := newCoordinator(t, dir, 0)
	for _, id := range []string{"remembered", "later"} {
		if !next.core.MayHaveRun(id) {
			t.Errorf("id %s is not known to the next process, want it known", id)
		}
	}
}
