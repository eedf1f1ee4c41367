package handover

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
)

// Program is an executable that is started as the target.
type Program struct {
	Path string
	Args []string // without the program's name
}

// targetProcess is the target's process and the source's end of the channel to it.
type targetProcess struct {
	channel *Channel
	cmd     *exec.Cmd
}

// startProcess starts a program as the target, with env added to its environment. The process has
// its own process group, so that kill also ends all processes that it starts.
func startProcess(p Program, listener *os.File, connections int, env ...string) (*targetProcess, error) {
	ch, peer, err := NewChannelPair()
	if err != nil {
		return nil, err
	}
	defer func() { _ = peer.Close() }() // the child has a duplicate
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	cmd.ExtraFiles = []*os.File{peer, listener} // become channelDescriptor and listenerDescriptor in the child
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

// kill kills the process and all processes in its group. An error is ignored, because they may have
// ended already.
func (p *targetProcess) kill() { _ = syscall.Kill(-p.pid(), syscall.SIGKILL) }
