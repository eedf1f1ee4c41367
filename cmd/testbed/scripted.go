package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"time"

	"gannetspur/internal/handover"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

// scriptedCommand is a successor process of an upgrade that misbehaves in a given way.
type scriptedCommand struct {
	How  string   `arg:"" enum:"version,garbage,forget" help:"How to misbehave: ${enum}." name:"how"`
	Args []string `arg:"" optional:"" passthrough:"" help:"For forget: the gateway's program and its arguments." name:"args"`
}

// Run sends garbage, announces an incompatible version, or relays to a successor without the learned state.
func (c *scriptedCommand) Run() error {
	if c.How == "garbage" {
		f := os.NewFile(3, "channel") // the channel to the old process
		_, err := f.Write([]byte("\x7fthis is no frame at all"))
		time.Sleep(10 * time.Second)
		return err
	}
	in, err := handover.Inherit()
	if err != nil || in == nil {
		return errors.Join(errors.New("no channel from an old process: this command is started only by upgrade experiments"), err)
	}
	if c.How == "forget" {
		return forget(in, c.Args)
	}
	if err := in.Channel.Send(&handover.Hello{Major: handover.Version.Major + 1}); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	return nil
}

// forget relays between the old process and a new one and passes on everything except what the
// decision module has learned. It shows how an upgrade would perform without that state.
func forget(in *handover.Inheritance, args []string) error {
	if len(args) == 0 {
		return errors.New("forget: missing argument: path of the gateway's program")
	}
	ch, theirs, err := handover.NewChannelPair()
	if err != nil {
		return err
	}
	p := exec.Command(args[0], args[1:]...)
	p.Stdout, p.Stderr = os.Stdout, os.Stderr
	p.ExtraFiles = []*os.File{theirs, in.Listener}
	p.Env = append(os.Environ(), fmt.Sprintf("%s=%d", handover.EnvTakeOver, in.Connections))
	if err := p.Start(); err != nil {
		return err
	}
	_ = theirs.Close()
	relay := func(from, to *handover.Channel) {
		_ = from.Read(func(m handover.Message, fds []int) { // returns when the channel closes, which ends the relay
			if state, ok := m.(*handover.State); ok {
				dropLearned(state)
			}
			_ = to.Send(m, fds...) // a receiver that has ended needs no message
			for _, fd := range fds {
				_ = unix.Close(fd)
			}
		})
		_ = to.Close()
	}
	go relay(ch, in.Channel)
	go relay(in.Channel, ch)
	return p.Wait()
}

// dropLearned removes what the decision module has learned from the handed-over state.
func dropLearned(state *handover.State) {
	var core map[string]cbor.RawMessage
	if cbor.Unmarshal(state.Sections["core"], &core) != nil {
		return
	}
	delete(core, "Learned")
	if b, err := cbor.Marshal(core); err == nil {
		state.Sections["core"] = b
	}
}
