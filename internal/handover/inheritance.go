package handover

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
)

// Environment variables and descriptors that the target inherits from the source. They are part of
// the protocol: other versions use the same names and numbers.
const (
	// EnvTakeOver is the environment variable that tells a process to take over. Its value is the
	// number of connections that will be transferred to it.
	EnvTakeOver = "RINGWOOD_TAKE_OVER"
	// EnvCheckOnly is the environment variable that is set in addition to EnvTakeOver if the process
	// should only send its Hello and exit.
	EnvCheckOnly = "RINGWOOD_TAKE_OVER_CHECK"

	channelDescriptor  = 3
	listenerDescriptor = 4
)

// Inheritance holds what a target inherits from the source.
type Inheritance struct {
	Channel     *Channel // this process's end of the channel to the source
	Listener    *os.File // the listener for client connections
	Connections int      // number of connections that will be transferred
	CheckOnly   bool     // the source only checks whether this process could take over
}

// Inherit returns what this process has inherited from a source, or nil if it was not started to
// take over. It unsets the environment variables, so that processes started by this one later
// don't mistake them for their own.
func Inherit() (*Inheritance, error) {
	text, ok := os.LookupEnv(EnvTakeOver)
	if !ok {
		return nil, nil
	}
	_, checkOnly := os.LookupEnv(EnvCheckOnly)
	_ = os.Unsetenv(EnvTakeOver)
	_ = os.Unsetenv(EnvCheckOnly)
	connections, err := strconv.Atoi(text)
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", EnvTakeOver, err)
	}
	syscall.CloseOnExec(channelDescriptor)
	syscall.CloseOnExec(listenerDescriptor)
	ch, err := ChannelFromFile(os.NewFile(channelDescriptor, "handover"))
	if err != nil {
		return nil, err
	}
	return &Inheritance{
		Channel: ch, Listener: os.NewFile(listenerDescriptor, "listener"), Connections: connections, CheckOnly: checkOnly,
	}, nil
}
