package netio

import (
	"os/exec"
	"strings"
	"testing"
)

// A child process inherits none of the loop's descriptors: neither the poller's own nor those of connections.
func TestDescriptorsArePrivate(t *testing.T) {
	l := startLoop(t)
	h := newRecorder()
	serve(t, l, h)
	await(t, "a connection", h.accepted)
	out, err := exec.Command("ls", "-l", "/proc/self/fd").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(out), "\n") {
		if strings.Contains(line, "socket:") || strings.Contains(line, "anon_inode:") {
			t.Errorf("the child process inherited %s, want no socket and no anonymous descriptor", line)
		}
	}
}
