package handover

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// These names and numbers pass between processes of different versions.
const (
	storedEnv      = "RINGWOOD_TAKE_OVER"
	storedEnvCheck = "RINGWOOD_TAKE_OVER_CHECK"
)

// TestMain is also the program that the tests below start to take over.
func TestMain(m *testing.M) {
	if conns, ok := os.LookupEnv(storedEnv); ok {
		os.Exit(takeOver(conns))
	}
	os.Exit(m.Run())
}

// takeOver tells by its hello what it inherited.
func takeOver(conns string) int {
	checkText, checkSet := os.LookupEnv(storedEnvCheck)
	in, err := Inherit()
	if err != nil || in == nil {
		fmt.Fprintln(os.Stderr, "inherited:", in, err)
		return 1
	}
	_, env := os.LookupEnv(storedEnv)
	_, envCheck := os.LookupEnv(storedEnvCheck)
	ln, err := net.FileListener(in.Listener)
	if err != nil {
		fmt.Fprintln(os.Stderr, "listener:", err)
		return 1
	}
	said := &Hello{Major: 1, Problem: os.Getenv("TEST_PROBLEM"), Build: fmt.Sprintf(
		"%q %q %v: %d %v at %s, left %v %v, args %q", conns, checkText, checkSet, in.Connections, in.CheckOnly, ln.Addr(), env, envCheck, os.Args[1:])}
	if os.Getenv("TEST_SILENT") != "" {
		return 0
	}
	if err := in.Channel.Send(said); err != nil {
		return 1
	}
	time.Sleep(time.Minute) // it is ended
	return 0
}

func testListener(t *testing.T) (addr string, f *os.File) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	f, err = ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return ln.Addr().String(), f
}

// A process that is started to take over finds how many connections wait in its environment,
// the channel and the listener at descriptors 3 and 4, and hands the variables on to nobody.
func TestEnvironment(t *testing.T) {
	addr, listener := testListener(t)
	program := Program{Path: os.Args[0], Args: []string{"serve", "--upgrade", "x"}}
	build, err := CheckProgram(program, listener, 321, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if want := fmt.Sprintf(`"321" "1" true: 321 true at %s, left false false, args ["serve" "--upgrade" "x"]`, addr); build != want {
		t.Errorf("a process that is checked: %s, want %s", build, want)
	}

	proc, err := startProcess(program, listener, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		proc.kill()
		_ = proc.cmd.Wait()
		_ = proc.channel.Close()
	}()
	said := make(chan string, 1)
	go func() {
		_ = proc.channel.Read(func(m Message, _ []int) {
			if h, ok := m.(*Hello); ok {
				said <- h.Build
			}
		})
	}()
	if got, want := <-said, fmt.Sprintf(`"0" "" false: 0 false at %s, left false false, args ["serve" "--upgrade" "x"]`, addr); got != want {
		t.Errorf("a process that takes over: %s, want %s", got, want)
	}
}

// Operators read why a program would not take over.
func TestCheckProblems(t *testing.T) {
	_, listener := testListener(t)
	program := Program{Path: os.Args[0]}
	t.Run("problem", func(t *testing.T) {
		t.Setenv("TEST_PROBLEM", "x.toml:7: no port")
		if _, err := CheckProgram(program, listener, 1, 10*time.Second); err == nil || err.Error() != "x.toml:7: no port" {
			t.Errorf("error %v", err)
		}
	})
	t.Run("silent", func(t *testing.T) {
		t.Setenv("TEST_SILENT", "1")
		if _, err := CheckProgram(program, listener, 1, 10*time.Second); err == nil || err.Error() != "it ended without a word" {
			t.Errorf("error %v", err)
		}
	})
	t.Run("no program", func(t *testing.T) {
		if _, err := CheckProgram(Program{Path: "/nonexistent"}, listener, 1, 10*time.Second); err == nil || !strings.Contains(err.Error(), "no such file") {
			t.Errorf("error %v", err)
		}
	})
}

// A number of connections that can't be read is an error, and no process that takes over.
func TestEnvironmentUnreadable(t *testing.T) {
	t.Setenv(storedEnv, "many")
	in, err := Inherit()
	if in != nil || err == nil || !strings.Contains(err.Error(), storedEnv) {
		t.Errorf("inherited %v, error %v", in, err)
	}
}
