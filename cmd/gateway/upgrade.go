package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/config"
)

// adminFlags name the gateway that is spoken to.
type adminFlags struct {
	Admin   string        `placeholder:"SOCKET" help:"The gateway's socket for operators."`
	Upgrade string        `placeholder:"FILE" help:"In place of --admin: the file that the gateway was started with, which names it."`
	Within  time.Duration `default:"2m" help:"Give up waiting after this. The gateway goes on."`
}

func (f *adminFlags) call(r admin.Request, each func(admin.Reply)) (admin.Reply, error) {
	path := f.Admin
	if path == "" && f.Upgrade != "" {
		u, err := config.LoadUpgrade(f.Upgrade)
		if err != nil {
			return admin.Reply{}, err
		}
		path = u.Admin
	}
	if path == "" {
		return admin.Reply{}, errors.New("name the gateway: --admin SOCKET or --upgrade FILE")
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Within)
	defer cancel()
	return admin.Call(ctx, path, r, each)
}

type upgradeCommand struct {
	adminFlags
	Program string `placeholder:"FILE" help:"What takes over; by default what the gateway's file names, else the program that runs, as it is on disk now." name:"program"`
	Check   bool   `help:"Only ask whether it would take over: it is started, reads its files, says what it is and ends." name:"check"`
}

// Run has a new version take over. It waits, tells each phase, and ends with status 1 and
// the reason where control has returned to the old one.
func (c *upgradeCommand) Run() error {
	command := admin.CommandUpgrade
	if c.Check {
		command = admin.CommandCheck
	}
	start := time.Now()
	last, err := c.call(admin.Request{Command: command, Program: c.Program}, func(r admin.Reply) {
		fmt.Printf("%6.2f s  %s\n", time.Since(start).Seconds(), r.Phase)
	})
	switch {
	case err != nil:
		return err
	case last.Problem != "" && c.Check:
		return fmt.Errorf("it would not take over: %s", last.Problem)
	case last.Problem != "":
		return fmt.Errorf("the old process serves on: %s", last.Problem)
	case c.Check:
		fmt.Printf("it would take over: %s\n", last.Build)
	default:
		fmt.Printf("%6.2f s  the new process is the owner\n", time.Since(start).Seconds())
	}
	return nil
}

type statusCommand struct {
	adminFlags
	JSON bool `help:"Print all of it as JSON, counters too." name:"json"`
}

func (c *statusCommand) Run() error {
	last, err := c.call(admin.Request{Command: admin.CommandStatus}, func(admin.Reply) {})
	if err != nil {
		return err
	}
	s := last.Status
	if s == nil {
		return fmt.Errorf("no status: %s", last.Problem)
	}
	if c.JSON {
		return printJSON(s)
	}
	fmt.Printf("process      %d, %s\nfront        %s at %s\nup           %.0f s, took over: %v\nupgrade      %s\nconnections  %d\nunanswered   %d\n",
		s.PID, s.Build, s.Frontend, s.Listen, s.UptimeSeconds, s.TookOver, s.Phase, s.Connections, s.Unanswered)
	return nil
}

// printJSON prints what an operator asked for as JSON, indented.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
