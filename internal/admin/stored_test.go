package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// storedCalls are requests with their replies. testdata holds them as lines that version c18a9bd wrote: the command-line
// tool and the gateway may be of different versions, so the format must not change.
var storedCalls = []struct {
	name    string
	request Request
	replies []Reply
}{
	{"status", Request{Command: "status"}, []Reply{{Status: &Status{
		PID: 4242, Build: "ringwood 1.0", Frontend: "postgres", Listen: "127.0.0.1:5432", Phase: "probation", TookOver: true, UptimeSeconds: 12.5,
		Connections: 7, Unanswered: 3, Counters: map[string]int64{"answered.served.lookup": 99},
	}, Done: true}}},
	{"upgrade", Request{Command: "upgrade", Program: "/opt/new", Args: []string{"serve", "--upgrade", "x.toml"}}, []Reply{
		{Phase: "greeting"}, {Phase: "warming"}, {Phase: "idle", Problem: "it died", Done: true},
	}},
	{"check", Request{Command: "check"}, []Reply{{Build: "ringwood 1.1", Problem: "no port", Done: true}}},
	{"site-drain", Request{Command: "site-drain", Site: "pokhara"}, []Reply{{Sites: json.RawMessage(`{"sites":[]}`), Done: true}}},
	{"members", Request{Command: "members"}, []Reply{{Membership: json.RawMessage(`{"members":1}`), Done: true}}},
}

// storedLines returns the content of a file in testdata.
func storedLines(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// rawCall sends bytes to the server, closes the write side, and returns all that the server sends.
func rawCall(t *testing.T, path, sent string) string {
	t.Helper()
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, sent); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.UnixConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(got)
}

// TestStoredRequests checks that the server parses the stored requests and writes the stored replies byte for byte, and
// that it refuses a truncated request with a reason.
func TestStoredRequests(t *testing.T) {
	for _, tt := range storedCalls {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "admin")
			received := make(chan Request, 1)
			s, err := Listen(path, func(r Request, reply func(Reply)) {
				received <- r
				for _, r := range tt.replies {
					reply(r)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			request := storedLines(t, tt.name+".request")
			if got, want := rawCall(t, path, request), storedLines(t, tt.name+".replies"); got != want {
				t.Errorf("replies =\n%s\nwant\n%s", got, want)
			}
			if diff := cmp.Diff(tt.request, <-received); diff != "" {
				t.Errorf("request (-want +got):\n%s", diff)
			}
			for cut := range request {
				got := rawCall(t, path, request[:cut])
				if !strings.HasPrefix(got, `{"why":"cannot read request: `) || !strings.HasSuffix(got, `,"done":true}`+"\n") {
					t.Errorf("request cut at byte %d: reply = %q, want an error", cut, got)
				}
			}
		})
	}
}

// TestStoredReplies checks that Call writes the stored request byte for byte and parses the stored replies, and that it
// returns an error if the replies are truncated.
func TestStoredReplies(t *testing.T) {
	for _, tt := range storedCalls {
		t.Run(tt.name, func(t *testing.T) {
			replies := storedLines(t, tt.name+".replies")
			got, sent, err := callWith(t, tt.request, replies)
			if err != nil {
				t.Fatal(err)
			}
			if want := storedLines(t, tt.name+".request"); sent != want {
				t.Errorf("request = %q, want %q", sent, want)
			}
			if diff := cmp.Diff(tt.replies, got); diff != "" {
				t.Errorf("replies (-want +got):\n%s", diff)
			}
			for _, cut := range []int{0, 1, len(replies) / 2, len(replies) - 2} {
				if _, _, err := callWith(t, tt.request, replies[:cut]); err == nil {
					t.Errorf("no error for replies cut at byte %d of %d", cut, len(replies))
				}
			}
		})
	}
	if _, _, err := callWith(t, Request{Command: "status"}, ""); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("no reply: error = %v, want io.ErrUnexpectedEOF", err)
	}
}

// callWith calls a server that writes replies whatever the request is. It returns the parsed replies and the request line
// as sent.
func callWith(t *testing.T, r Request, replies string) (got []Reply, sent string, err error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "admin")
	ln, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	lines := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			lines <- err.Error()
			return
		}
		defer func() { _ = c.Close() }()
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			line = err.Error()
		}
		_, _ = io.WriteString(c, replies)
		lines <- line
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	last, err := Call(ctx, path, r, func(reply Reply) { got = append(got, reply) })
	return append(got, last), <-lines, err
}
