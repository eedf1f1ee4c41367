package handover

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// Names of the environment variables as other versions set and read them. They are repeated here so
// that a change of the constants in the package fails the tests.
const (
	storedEnv      = "RINGWOOD_TAKE_OVER"
	storedEnvCheck = "RINGWOOD_TAKE_OVER_CHECK"
)

// TestMain also acts as the target program that the tests below start.
func TestMain(m *testing.M) {
	if conns, ok := os.LookupEnv(storedEnv); ok {
		os.Exit(runTarget(conns))
	}
	os.Exit(m.Run())
}

// runTarget runs the target program. It sends a Hello whose Build describes what the process inherited,
// and returns the exit code.
func runTarget(conns string) int {
	checkText, checkSet := os.LookupEnv(storedEnvCheck)
	in, err := Inherit()
	if err != nil || in == nil {
		fmt.Fprintln(os.Stderr, "inherit:", in, err)
		return 1
	}
	_, env := os.LookupEnv(storedEnv)
	_, envCheck := os.LookupEnv(storedEnvCheck)
	ln, err := net.FileListener(in.Listener)
	if err != nil {
		fmt.Fprintln(os.Stderr, "listener:", err)
		return 1
	}
	hello := &Hello{Major: 1, Problem: os.Getenv("TEST_PROBLEM"), Build: fmt.Sprintf(
		"%q %q %v: %d %v at %s, still set %v %v, args %q", conns, checkText, checkSet, in.Connections, in.CheckOnly, ln.Addr(), env, envCheck, os.Args[1:])}
	if os.Getenv("TEST_SILENT") != "" {
		return 0
	}
	if err := in.Channel.Send(hello); err != nil {
		return 1
	}
	time.Sleep(time.Minute) // until the parent kills it
	return 0
}

// testListener returns a listener's address and a duplicate of the listener as a file.
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

// A target finds the number of connections in its environment and the channel and the listener at
// descriptors 3 and 4. It unsets the variables, so that its own child processes don't see them.
func TestInheritEnvironment(t *testing.T) {
	addr, listener := testListener(t)
	program := Program{Path: os.Args[0], Args: []string{"serve", "--upgrade", "x"}}
	build, err := CheckProgram(program, listener, 321, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if want := fmt.Sprintf(`"321" "1" true: 321 true at %s, still set false false, args ["serve" "--upgrade" "x"]`, addr); build != want {
		t.Errorf("build of a checked process = %s, want %s", build, want)
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
	builds := make(chan string, 1)
	go func() {
		_ = proc.channel.Read(func(m Message, _ []int) {
			if h, ok := m.(*Hello); ok {
				builds <- h.Build
			}
		})
	}()
	if got, want := <-builds, fmt.Sprintf(`"0" "" false: 0 false at %s, still set false false, args ["serve" "--upgrade" "x"]`, addr); got != want {
		t.Errorf("build of a target = %s, want %s", got, want)
	}
}

// CheckProgram returns errors that tell operators why a program can't take over.
func TestCheckProblems(t *testing.T) {
	_, listener := testListener(t)
	program := Program{Path: os.Args[0]}
	t.Run("problem in hello", func(t *testing.T) {
		t.Setenv("TEST_PROBLEM", "x.toml:7: no port")
		if _, err := CheckProgram(program, listener, 1, 10*time.Second); err == nil || err.Error() != "x.toml:7: no port" {
			t.Errorf("error = %v, want %q", err, "x.toml:7: no port")
		}
	})
	t.Run("exit without hello", func(t *testing.T) {
		t.Setenv("TEST_SILENT", "1")
		if _, err := CheckProgram(program, listener, 1, 10*time.Second); err == nil || err.Error() != "it ended without a word" {
			t.Errorf("error = %v, want %q", err, "it ended without a word")
		}
	})
	t.Run("no program", func(t *testing.T) {
		if _, err := CheckProgram(Program{Path: "/nonexistent"}, listener, 1, 10*time.Second); err == nil || !strings.Contains(err.Error(), "no such file") {
			t.Errorf("error = %v, want one that contains %q", err, "no such file")
		}
	})
}

// An invalid number of connections in the environment is an error.
func TestInheritInvalidEnvironment(t *testing.T) {
	t.Setenv(storedEnv, "many")
	in, err := Inherit()
	if in != nil || err == nil || !strings.Contains(err.Error(), storedEnv) {
		t.Errorf("Inherit = %v, error %v, want nil and an error that names %s", in, err, storedEnv)
	}
}
