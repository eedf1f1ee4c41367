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

// scriptedCommand is a process that is started to take over and does something else.
type scriptedCommand struct {
	How  string   `arg:"" enum:"version,garbage,forget" help:"${enum}." name:"how"`
	Args []string `arg:"" optional:"" passthrough:"" help:"Of forget: the gateway's program and its arguments." name:"args"`
}

func (c *scriptedCommand) Run() error {
	if c.How == "garbage" {
		f := os.NewFile(3, "channel")
		_, err := f.Write([]byte("\x7fthis is no frame at all"))
		time.Sleep(10 * time.Second)
		return err
	}
	in, err := handover.Inherit()
	if err != nil || in == nil {
		return errors.Join(errors.New("this is for upgrades to start"), err)
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

// forget stands between the old process and a new one, and passes everything on but what
// the decision module has learned: what an upgrade would be worth without it.
func forget(in *handover.Inheritance, args []string) error {
	if len(args) == 0 {
		return errors.New("forget: no program")
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
	pass := func(from, to *handover.Channel) {
		_ = from.Read(func(m handover.Message, fds []int) { // its end is the end of all
			if w, ok := m.(*handover.State); ok {
				dropLearned(w)
			}
			_ = to.Send(m, fds...) // who has ended needs none
			for _, fd := range fds {
				_ = unix.Close(fd)
			}
		})
		_ = to.Close()
	}
	go pass(ch, in.Channel)
	go pass(in.Channel, ch)
	return p.Wait()
}

func dropLearned(w *handover.State) {
	var core map[string]cbor.RawMessage
	if cbor.Unmarshal(w.Sections["core"], &core) != nil {
		return
	}
	delete(core, "Learned")
	if b, err := cbor.Marshal(core); err == nil {
		w.Sections["core"] = b
	}
}
