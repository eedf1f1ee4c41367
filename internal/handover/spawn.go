package handover

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

// The descriptors and variables that a process which takes over inherits.
const (
	// EnvTakeOver tells it that it is to take over: the number of connections that wait for it.
	EnvTakeOver = "RINGWOOD_TAKE_OVER"
	// EnvCheckOnly tells it to say what it is and to end.
	EnvCheckOnly = "RINGWOOD_TAKE_OVER_CHECK"
	channelFD    = 3
	listenerFD   = 4
)

// Inherited tells whether this process was started to take over, and opens what it inherits.
// check: it is only asked whether it would. conns is how many connections wait for it.
func Inherited() (ch *Channel, listener *os.File, conns int, check, ok bool, err error) {
	text, ok := os.LookupEnv(EnvTakeOver)
	if !ok {
		return nil, nil, 0, false, false, nil
	}
	_, check = os.LookupEnv(EnvCheckOnly)
	// What this process starts one day must not take them for its own.
	_ = os.Unsetenv(EnvTakeOver)
	_ = os.Unsetenv(EnvCheckOnly)
	if conns, err = strconv.Atoi(text); err != nil {
		return nil, nil, 0, check, true, fmt.Errorf("handover: %s: %w", EnvTakeOver, err)
	}
	syscall.CloseOnExec(channelFD)
	syscall.CloseOnExec(listenerFD)
	if ch, err = ChannelFromFile(os.NewFile(channelFD, "handover")); err != nil {
		return nil, nil, 0, check, true, err
	}
	return ch, os.NewFile(listenerFD, "listener"), conns, check, true, nil
}

// Program is what is started to take over.
type Program struct {
	Path string
	Args []string
}

// process is the other process, as the old one sees it.
type process struct {
	ch  *Channel
	cmd *exec.Cmd
}

// spawn starts the program in a process group of its own, which is ended as a whole.
func spawn(p Program, listener *os.File, conns int, env ...string) (*process, error) {
	ch, theirs, err := NewChannelPair()
	if err != nil {
		return nil, err
	}
	defer theirs.Close()
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	cmd.ExtraFiles = []*os.File{theirs, listener}
	cmd.Env = append(append(os.Environ(), fmt.Sprintf("%s=%d", EnvTakeOver, conns)), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		_ = ch.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &process{ch: ch, cmd: cmd}, nil
}

// kill ends the process and all that it has started.
func (p *process) kill() { _ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) } // one that has ended needs none

// CheckProgram asks a program whether it would take over: it is started, says what it is after it
// has read its files, and is ended. It blocks, at the most for within.
func CheckProgram(p Program, listener *os.File, conns int, within time.Duration) (build string, err error) {
	proc, err := spawn(p, listener, conns, EnvCheckOnly+"=1")
	if err != nil {
		return "", err
	}
	said := make(chan *Hello, 1)
	gone := make(chan error, 1)
	go func() {
		gone <- proc.ch.Read(func(m Message, _ []int) {
			if h, ok := m.(*Hello); ok {
				select {
				case said <- h:
				default:
				}
			}
		})
	}()
	defer func() {
		proc.kill()
		_ = proc.cmd.Wait()
		_ = proc.ch.Close()
	}()
	judge := func(h *Hello) (string, error) {
		v := Version
		v.Major, v.Minor = h.Major, h.Minor
		switch {
		case h.Problem != "":
			return h.Build, errors.New(h.Problem)
		case !Version.CompatibleWith(v):
			return h.Build, fmt.Errorf("it speaks version %d.%d, and this one %d.%d", h.Major, h.Minor, Version.Major, Version.Minor)
		}
		return h.Build, nil
	}
	select {
	case h := <-said:
		return judge(h)
	case err := <-gone:
		select {
		case h := <-said: // both at once
			return judge(h)
		default:
		}
		return "", errors.Join(errors.New("it ended without a word"), err)
	case <-time.After(within):
		return "", fmt.Errorf("it did not say what it is within %v", within)
	}
}
