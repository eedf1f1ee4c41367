package handover

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// errEndedWithoutHello is what operators read of a program that is no gateway, or crashes.
var errEndedWithoutHello = errors.New("it ended without a word")

// CheckProgram asks a program whether it would take over: it is started, says hello after it
// has read its files, and is killed. It blocks until then, at most for timeout.
func CheckProgram(p Program, listener *os.File, connections int, timeout time.Duration) (build string, err error) {
	process, err := startProcess(p, listener, connections, EnvCheckOnly+"=1")
	if err != nil {
		return "", err
	}
	hellos := make(chan *Hello, 1)
	ended := make(chan error, 1)
	go func() { // ends with the channel, which is closed below
		ended <- process.channel.Read(func(m Message, fds []int) {
			closeDescriptors(fds)
			if hello, ok := m.(*Hello); ok {
				select {
				case hellos <- hello:
				default: // only the first counts
				}
			}
		})
	}()
	defer func() {
		process.kill()
		_ = process.cmd.Wait() // it was killed
		_ = process.channel.Close()
	}()
	select {
	case hello := <-hellos:
		return hello.Build, hello.check()
	case err := <-ended:
		select {
		case hello := <-hellos: // both at once
			return hello.Build, hello.check()
		default:
			return "", errors.Join(errEndedWithoutHello, err)
		}
	case <-time.After(timeout):
		return "", fmt.Errorf("it did not say what it is within %v", timeout)
	}
}

// check returns why the sender of a hello can't take over from this version.
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
