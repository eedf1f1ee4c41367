package handover

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// errEndedWithoutHello is shown to operators if a program exits before it sends a Hello, because it
// is not a gateway or crashes.
var errEndedWithoutHello = errors.New("it ended without a word")

// CheckProgram checks whether a program could take over. It starts the program, waits for the Hello
// that the program sends after it has read its files, and kills it. It waits at most for timeout.
// It returns the program's build, as printed by its version command, and an error that says why the
// program could not take over.
func CheckProgram(p Program, listener *os.File, connections int, timeout time.Duration) (build string, err error) {
	process, err := startProcess(p, listener, connections, EnvCheckOnly+"=1")
	if err != nil {
		return "", err
	}
	hellos := make(chan *Hello, 1)
	ended := make(chan error, 1)
	go func() { // returns when the channel is closed below
		ended <- process.channel.Read(func(m Message, fds []int) {
			closeDescriptors(fds)
			if hello, ok := m.(*Hello); ok {
				select {
				case hellos <- hello:
				default: // only the first Hello is used
				}
			}
		})
	}()
	defer func() {
		process.kill()
		_ = process.cmd.Wait() // reaps the process; the error only tells that it was killed
		_ = process.channel.Close()
	}()
	select {
	case hello := <-hellos:
		return hello.Build, hello.check()
	case err := <-ended:
		select {
		case hello := <-hellos: // a Hello came before the end, and select chose the end at random
			return hello.Build, hello.check()
		default:
			return "", errors.Join(errEndedWithoutHello, err)
		}
	case <-time.After(timeout):
		return "", fmt.Errorf("it did not say what it is within %v", timeout)
	}
}

// check returns an error that says why the sender of the Hello can't take over from this process,
// or nil if it can.
func (m *Hello) check() error {
	version := Version
	version.Major = m.Major
	version.Minor = m.Minor
	switch {
	case m.Problem != "":
		return errors.New(m.Problem)
	case !Version.CompatibleWith(version):
		return fmt.Errorf("it speaks version %d.%d, and this one %d.%d", m.Major, m.Minor, Version.Major, Version.Minor)
	}
	return nil
}
