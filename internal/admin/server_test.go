package admin

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestListenReplacesSocket checks that a second Listen takes over the path, that only the owner may connect, and that no
// temporary files stay in the directory.
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
			t.Errorf("reply came from %q, error %v; want %q, nil", last.Build, err, build)
		}
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := info.Mode().Perm(); got != 0o600 {
		t.Errorf("socket mode = %o, want 600", got)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 1 {
		t.Errorf("%d files in the directory, want 1", len(entries))
	}
}

// TestRequestTooLong checks that a request without a newline within maxRequestBytes is refused.
func TestRequestTooLong(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	s, err := Listen(path, func(Request, func(Reply)) { t.Error("the handler was called for an oversized request") })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	sent := `{"do":"` + strings.Repeat("x", maxRequestBytes-7)
	if got := rawCall(t, path, sent); !strings.Contains(got, "cannot read request") {
		t.Errorf("reply = %q, want an error", got)
	}
}

// TestFetchStatusProblem checks that FetchStatus returns the problem of a reply without a status as an error.
func TestFetchStatusProblem(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	s, err := Listen(path, func(_ Request, reply func(Reply)) { reply(Reply{Problem: "no", Done: true}) })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	if status, err := FetchStatus(t.Context(), path); status != nil || err == nil || err.Error() != "no" {
		t.Errorf("FetchStatus = %v, %v; want nil, \"no\"", status, err)
	}
}
