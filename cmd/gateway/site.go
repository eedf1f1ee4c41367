package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"gannetspur/internal/admin"
	"gannetspur/internal/config"
	"gannetspur/internal/site/forwarding"
)

// siteFlags name the gateway that is spoken to.
type siteFlags struct {
	adminFlags
	Sites string `placeholder:"FILE" help:"In place of --admin: the file of sites that the gateway was started with, which names it."`
}

func (f *siteFlags) request(r admin.Request) (o forwarding.Overview, err error) {
	if f.Admin == "" && f.Upgrade == "" && f.Sites != "" {
		s, err := config.LoadSites(f.Sites)
		if err != nil {
			return o, err
		}
		f.Admin = s.Admin
	}
	last, err := f.call(r, func(admin.Reply) {})
	switch {
	case err != nil:
		return o, err
	case last.Problem != "":
		return o, fmt.Errorf("%s", last.Problem)
	}
	return o, json.Unmarshal(last.Sites, &o)
}

type siteCommand struct {
	Status  siteStatusCommand  `cmd:"" help:"Show how this site and the others stand, as a gateway sees them." name:"status"`
	Drain   siteDrainCommand   `cmd:"" help:"Send nothing new to a site; without one, take nothing new of others." name:"drain"`
	Undrain siteUndrainCommand `cmd:"" help:"Take a drain back." name:"undrain"`
}

type siteStatusCommand struct {
	siteFlags
	JSON bool `help:"Print all of it as JSON." name:"json"`
}

func (c *siteStatusCommand) Run() error {
	o, err := c.request(admin.Request{Command: admin.CommandSiteStatus})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(o)
	}
	printSites(o)
	return nil
}

func printSites(o forwarding.Overview) {
	takes := "takes work of other sites"
	if o.Draining {
		takes = "takes nothing new of other sites"
	}
	fmt.Printf("%s  %.1f cores, %s; room: %s\n\n", o.Name, o.Cores, takes, rooms(o.FreeCapacity))
	fmt.Printf("%-24s %-9s %8s %8s %6s %6s %8s  %s\n", "peer", "state", "rtt ms", "heard ms", "there", "theirs", "takes s", "room there")
	for _, p := range o.Peers {
		state := p.State
		if p.Drained {
			state += "*"
		}
		fmt.Printf("%-24s %-9s %8.1f %8.0f %6d %6d %8.2f  %s\n", p.Peer, state, p.RTTMS, p.HeardMS, p.Forwarded, p.Served, p.Credit, rooms(p.FreeCapacity))
	}
	for _, e := range o.Log {
		fmt.Println(e)
	}
}

func rooms(m map[string]float64) string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		all = append(all, fmt.Sprintf("%s %.2f", name, m[name]))
	}
	return strings.Join(all, ", ")
}

type siteDrainCommand struct {
	siteFlags
	Site string `arg:"" optional:"" help:"A site, or one gateway as SITE/GATEWAY; none: this site." name:"site"`
}

func (c *siteDrainCommand) Run() error { return drain(&c.siteFlags, admin.CommandSiteDrain, c.Site) }

type siteUndrainCommand struct {
	siteFlags
	Site string `arg:"" optional:"" help:"A site, or one gateway as SITE/GATEWAY; none: this site." name:"site"`
}

func (c *siteUndrainCommand) Run() error {
	return drain(&c.siteFlags, admin.CommandSiteUndrain, c.Site)
}

func drain(f *siteFlags, command, site string) error {
	o, err := f.request(admin.Request{Command: command, Site: site})
	if err == nil {
		printSites(o)
	}
	return err
}
