package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/config"
	decide "gannetspur/internal/decide/membership"
	"gannetspur/internal/membership"
)

type membersCommand struct {
	adminFlags
	Fleet string        `placeholder:"FILE" help:"In place of --admin: the fleet's file that the gateway was started with, which names it." name:"fleet"`
	JSON  bool          `help:"Print all of it as JSON." name:"json"`
	Watch time.Duration `placeholder:"SPAN" help:"Print it again each SPAN, until interrupted." name:"watch"`
}

func (c *membersCommand) Run() error {
	if c.Admin == "" && c.Upgrade == "" && c.Fleet != "" {
		f, err := config.LoadFleet(c.Fleet)
		if err != nil {
			return err
		}
		c.Admin = f.Admin
	}
	for {
		if err := c.show(); err != nil || c.Watch <= 0 {
			return err
		}
		time.Sleep(max(c.Watch, 100*time.Millisecond))
		fmt.Println()
	}
}

func (c *membersCommand) show() error {
	last, err := c.call(admin.Request{Command: admin.CommandMembers}, func(admin.Reply) {})
	switch {
	case err != nil:
		return err
	case last.Problem != "":
		return errors.New(last.Problem)
	}
	var o membership.Overview
	if err := json.Unmarshal(last.Membership, &o); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(o)
	}
	printMembers(o)
	return nil
}

func printMembers(o membership.Overview) {
	known := "more than half of the fleet is in it"
	if !o.View.Majority {
		known = "half of the fleet or more is not in it: this part may be cut off, and can't know"
	}
	fmt.Printf("view %d (%s): %d members; %s; held by %d of %d heard lately\n", o.View.Number, o.View.Digest, o.View.Size, known, o.View.SameView, o.View.HeardMembers)
	if o.SelfSuspicion != "" {
		fmt.Printf("this member doubts itself: %s\n", o.SelfSuspicion)
	}
	fmt.Printf("\n%-22s %-8s %8s %6s  %s\n", "member", "state", "heard ms", "loss", "witnesses")
	for _, m := range o.Members {
		name, heard := m.Address, fmt.Sprintf("%.0f", m.HeardMS)
		if m.ID == o.Self {
			name, heard = name+" *", "-"
		} else if m.HeardMS < 0 {
			heard = "never"
		}
		var said []string
		for _, w := range []struct {
			what string
			by   []decide.ID
		}{{"not heard by", m.NotHeardBy}, {"not heard by, though alive:", m.NotHeardButAliveBy}, {"heard by", m.HeardBy}} {
			if len(w.by) > 0 {
				said = append(said, fmt.Sprintf("%s %v", w.what, w.by))
			}
		}
		if m.SuspectsItself {
			said = append(said, "doubts itself")
		}
		fmt.Printf("%-22s %-8s %8s %6.2f  %s\n", name, m.State, heard, m.LossRate, strings.Join(said, "; "))
	}
}
