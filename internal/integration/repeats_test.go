package integration

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// writeRequest is a call of a class that allows no repeat.
func writeRequest(requestID string) string {
	return strings.Replace(postText("write", "", "UPDATE stock_17.parts SET held = 1"), id, requestID, 1)
}

// TestIDOfAClientThatLeftIsNotRunAgain guards against a request that runs twice: its client leaves, and sends it again
// with the same id on a new connection, while the first is given up at its engine or after that.
func TestIDOfAClientThatLeftIsNotRunAgain(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"reset": func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
		"half closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			addr, seen := lineEngine(t, func(string) string { return "" }) // never answers
			g := httpGateway(t, addr)
			var begun int
			for n := range 10 {
				requestID := fmt.Sprintf("%016x", n+1)
				first := httpConnect(t, g.addr)
				if _, err := io.WriteString(first.c, writeRequest(requestID)); err != nil {
					t.Fatal(err)
				}
				for line := ""; !strings.Contains(line, requestID); line = await(t, seen) {
				}
				leave(first.c)
				if n%2 == 0 { // else the new connection may come before the end of the old one is noticed
					for deadline := time.Now().Add(waitTimeout); g.count("gone.write") <= int64(n); runtime.Gosched() {
						if time.Now().After(deadline) {
							t.Fatal("the end of the connection was not noticed")
						}
					}
				}
				answer, _ := httpConnect(t, g.addr).call(writeRequest(requestID))
				if !strings.HasPrefix(answer, "409 ") {
					t.Errorf("the id again: got %s, want 409", answer)
				}
				begun++
			}
			if sent := g.count("sent.write"); sent != int64(begun) {
				t.Errorf("%d requests were sent, want %d, one for each id", sent, begun)
			}
		})
	}
}

// TestIDThatNeverRanMayComeAgain checks that a request that an engine has rejected may be sent again with its id.
func TestIDThatNeverRanMayComeAgain(t *testing.T) {
	addr, _ := lineEngine(t, func(line string) string {
		if strings.HasPrefix(line, "want ") {
			return strings.Fields(line)[1] + " WAIT - 0\r\n\r\n"
		}
		return ""
	})
	g := httpGateway(t, addr)
	for range 2 {
		answer, _ := httpConnect(t, g.addr).call(writeRequest("000000000000000a"))
		if !strings.HasPrefix(answer, "503 ") {
			t.Errorf("got %s, want 503 each time", answer)
		}
	}
}
