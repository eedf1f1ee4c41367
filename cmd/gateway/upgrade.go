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

// adminFlags select the gateway to call.
type adminFlags struct {
	Admin   string        `placeholder:"SOCKET" help:"Admin socket of the gateway."`
	Upgrade string        `placeholder:"FILE" help:"Upgrade file that the gateway was started with; its admin socket is used unless --admin is given."`
	Within  time.Duration `default:"2m" help:"Maximum time to wait for the reply. The gateway completes the request in any case."`
}

// call sends a request to the gateway. It calls onReply for each reply but the last, which it returns.
func (f *adminFlags) call(r admin.Request, onReply func(admin.Reply)) (admin.Reply, error) {
	path := f.Admin
	if path == "" && f.Upgrade != "" {
		u, err := config.LoadUpgrade(f.Upgrade)
		if err != nil {
			return admin.Reply{}, err
		}
		path = u.Admin
	}
	if path == "" {
		return admin.Reply{}, errors.New("no admin socket given: use --admin SOCKET, or --upgrade FILE or another file that names one")
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Within)
	defer cancel()
	return admin.Call(ctx, path, r, onReply)
}

type upgradeCommand struct {
	adminFlags
	Program string `placeholder:"FILE" help:"Program to upgrade to. Defaults to the program named in the upgrade file, or else to the file that the running gateway was started from, as it is on disk now." name:"program"`
	Check   bool   `help:"Dry run: start the new program, let it read its files and report whether it can take over." name:"check"`
}

// Run upgrades the gateway: it prints each phase and waits for the end. If the old process keeps or regains control, the
// command fails with the reason.
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
		return fmt.Errorf("the new program cannot take over: %s", last.Problem)
	case last.Problem != "":
		return fmt.Errorf("upgrade failed, the old process keeps serving: %s", last.Problem)
	case c.Check:
		fmt.Printf("the new program can take over: %s\n", last.Build)
	default:
		fmt.Printf("%6.2f s  upgrade complete, the new process is the owner\n", time.Since(start).Seconds())
	}
	return nil
}

type statusCommand struct {
	adminFlags
	JSON bool `help:"Print the full status as JSON, including counters." name:"json"`
}

func (c *statusCommand) Run() error {
	last, err := c.call(admin.Request{Command: admin.CommandStatus}, func(admin.Reply) {})
	if err != nil {
		return err
	}
	s := last.Status
	if s == nil {
		return fmt.Errorf("the gateway returned no status: %s", last.Problem)
	}
	if c.JSON {
		return printJSON(s)
	}
	fmt.Printf("process      %d, %s\nfront end    %s at %s\nuptime       %.0f s, took over: %v\nupgrade      %s\nconnections  %d\nunanswered   %d\n",
		s.PID, s.Build, s.Frontend, s.Listen, s.UptimeSeconds, s.TookOver, s.Phase, s.Connections, s.Unanswered)
	return nil
}

// printJSON prints a value as indented JSON.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
