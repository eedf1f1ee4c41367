package handover

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
)

// Program is what is started to take over.
type Program struct {
	Path string
	Args []string
}

// targetProcess is the target as the source sees it.
type targetProcess struct {
	channel *Channel
	cmd     *exec.Cmd
}

// startProcess starts the program in a process group of its own, which is killed as a whole.
func startProcess(p Program, listener *os.File, connections int, env ...string) (*targetProcess, error) {
	ch, peer, err := NewChannelPair()
	if err != nil {
		return nil, err
	}
	defer func() { _ = peer.Close() }() // the child has its own
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	cmd.ExtraFiles = []*os.File{peer, listener} // channelDescriptor and listenerDescriptor
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", EnvTakeOver, connections))
	cmd.Env = append(cmd.Env, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		_ = ch.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &targetProcess{channel: ch, cmd: cmd}, nil
}

func (p *targetProcess) pid() int { return p.cmd.Process.Pid }

// kill ends the process and all that it has started.
func (p *targetProcess) kill() { _ = syscall.Kill(-p.pid(), syscall.SIGKILL) } // no error matters: it may have ended
