package admin

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The process that listens last at a path has it, its owner alone may use it, and nothing else
// is left in the folder.
func TestListenReplacesSocket(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "admin")
	for _, build := range []string{"old", "new"} {
		s, err := Listen(path, func(_ Request, reply func(Reply)) { reply(Reply{Build: build, Done: true}) })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		last, err := Call(t.Context(), path, Request{Command: "status"}, func(Reply) {})
		if err != nil || last.Build != build {
			t.Errorf("answered by %q, error %v, want %q", last.Build, err, build)
		}
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := info.Mode().Perm(); got != 0o600 {
		t.Errorf("mode = %o, want 600", got)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 1 {
		t.Errorf("%d files in the folder, want 1", len(entries))
	}
}

// A request that does not end within its bound is refused.
func TestRequestTooLong(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	s, err := Listen(path, func(Request, func(Reply)) { t.Error("handled") })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	sent := `{"do":"` + strings.Repeat("x", maxRequestBytes-7)
	if got := rawCall(t, path, sent); !strings.Contains(got, "the request can't be read") {
		t.Errorf("reply %q", got)
	}
}

// A gateway that answers a status call without a status says why.
func TestFetchStatusProblem(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	s, err := Listen(path, func(_ Request, reply func(Reply)) { reply(Reply{Problem: "no", Done: true}) })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	if status, err := FetchStatus(t.Context(), path); status != nil || err == nil || err.Error() != "no" {
		t.Errorf("status %v, error %v, want the problem", status, err)
	}
}
