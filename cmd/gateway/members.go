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
	Fleet string        `placeholder:"FILE" help:"Fleet file that the gateway was started with; its admin socket is used unless --admin or --upgrade is given." name:"fleet"`
	JSON  bool          `help:"Print the full output as JSON." name:"json"`
	Watch time.Duration `placeholder:"INTERVAL" help:"Repeat every INTERVAL until interrupted." name:"watch"`
}

// Run prints the members once, or with --watch repeatedly, at most ten times a second.
func (c *membersCommand) Run() error {
	if c.Admin == "" && c.Upgrade == "" && c.Fleet != "" {
		fleet, err := config.LoadFleet(c.Fleet)
		if err != nil {
			return err
		}
		c.Admin = fleet.Admin
	}
	for {
		if err := c.show(); err != nil || c.Watch <= 0 {
			return err
		}
		time.Sleep(max(c.Watch, 100*time.Millisecond))
		fmt.Println()
	}
}

// show asks the gateway for its view of the fleet and prints it.
func (c *membersCommand) show() error {
	last, err := c.call(admin.Request{Command: admin.CommandMembers}, func(admin.Reply) {})
	switch {
	case err != nil:
		return err
	case last.Problem != "":
		return errors.New(last.Problem)
	}
	var overview membership.Overview
	if err := json.Unmarshal(last.Membership, &overview); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(overview)
	}
	printMembers(overview)
	return nil
}

// printMembers prints the membership view and a table of its members; a star marks the member that was asked.
func printMembers(o membership.Overview) {
	majority := "a majority of the fleet"
	if !o.View.Majority {
		majority = "not a majority of the fleet (this member may be in a minority partition)"
	}
	fmt.Printf("view %d (%s): %d members, %s; same view on %d of %d recently heard members\n", o.View.Number, o.View.Digest, o.View.Size, majority, o.View.SameView, o.View.HeardMembers)
	if o.SelfSuspicion != "" {
		fmt.Printf("this member suspects itself: %s\n", o.SelfSuspicion)
	}
	fmt.Printf("\n%-22s %-8s %8s %6s  %s\n", "member", "state", "heard ms", "loss", "reports")
	for _, m := range o.Members {
		name, heard := m.Address, fmt.Sprintf("%.0f", m.HeardMS)
		if m.ID == o.Self {
			name, heard = name+" *", "-"
		} else if m.HeardMS < 0 {
			heard = "never"
		}
		var reports []string
		for _, report := range []struct {
			text string
			by   []decide.ID
		}{{"not heard by", m.NotHeardBy}, {"not heard, but known to be alive, by", m.NotHeardButAliveBy}, {"heard by", m.HeardBy}} {
			if len(report.by) > 0 {
				reports = append(reports, fmt.Sprintf("%s %v", report.text, report.by))
			}
		}
		if m.SuspectsItself {
			reports = append(reports, "suspects itself")
		}
		fmt.Printf("%-22s %-8s %8s %6.2f  %s\n", name, m.State, heard, m.LossRate, strings.Join(reports, "; "))
	}
}
