package handover

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
)

// What a process that takes over inherits. Other versions use the same names and numbers.
const (
	// EnvTakeOver is set for a process that is to take over, to the number of connections that wait
	// for it.
	EnvTakeOver = "RINGWOOD_TAKE_OVER"
	// EnvCheckOnly is set if the process is only to say hello and to end.
	EnvCheckOnly = "RINGWOOD_TAKE_OVER_CHECK"

	channelDescriptor  = 3
	listenerDescriptor = 4
)

// Inheritance is what a process that was started to take over has from the source.
type Inheritance struct {
	Channel     *Channel
	Listener    *os.File
	Connections int  // that wait for this process
	CheckOnly   bool // the source only asks whether this process would take over
}

// Inherit opens what this process has inherited; nil if it was not started to take over. The
// variables are removed: what this process starts one day must not take them for its own.
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
