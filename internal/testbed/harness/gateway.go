package harness

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// TerminationTimeout is how long the platform waits after SIGTERM before it kills a process.
const TerminationTimeout = 5700 * time.Millisecond

// stopTimeout is how long Stop waits for a graceful shutdown before it kills the process.
const stopTimeout = 8 * time.Second

// Build builds the gateway into a directory and returns the program's path.
func Build(ctx context.Context, root, dir string) (string, error) {
	program := filepath.Join(dir, "gateway")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/gateway")
	build.Dir = root
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("cannot build ringwood (run this from the repository's root, or give the path of a built program): %w", err)
	}
	return program, nil
}

// Gateway is one gateway process.
type Gateway struct {
	Process *os.Process
	Ended   chan error // receives the process's exit error once; nil: it exited with status 0
}

// Start starts a gateway process with the given arguments. Its standard output and error go to out.
func Start(program string, out io.Writer, args ...string) (*Gateway, error) {
	command := exec.Command(program, args...)
	command.Stdout = out
	command.Stderr = out
	command.Env = append(os.Environ(), "LB_CONFIG=", "LB_LISTEN=")
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("cannot start the gateway %s: %w", program, err)
	}
	gateway := &Gateway{Process: command.Process, Ended: make(chan error, 1)}
	go func() { gateway.Ended <- command.Wait() }()
	return gateway, nil
}

// Stop asks the process to shut down gracefully, and kills it if that takes longer than stopTimeout.
func (g *Gateway) Stop() {
	_ = g.Process.Signal(syscall.SIGTERM) // fails only if the process has ended already
	select {
	case <-g.Ended: //nolint:errcheck // the exit status after a requested stop says nothing
	case <-time.After(stopTimeout):
		_ = g.Process.Kill()
		<-g.Ended //nolint:errcheck // the exit status of a killed process says nothing
	}
}
